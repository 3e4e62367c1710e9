"""Scheduler that places multi-step jobs on endpoints over a shared log."""
