"""Workloads, baselines and measurements of the scheduling policy."""
