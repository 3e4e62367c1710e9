"""Command-line client for operators and callers."""
