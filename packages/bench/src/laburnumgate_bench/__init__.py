"""Seeded workloads, baseline policies and benchmarks of the scheduler."""
