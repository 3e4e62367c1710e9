"""Decisions under load, as pure functions without I/O.

Each module names the load pattern that it answers.
"""
