"""Scheduling, configuration and membership logic without I/O."""
