"""Limits of client accounts: what runs, what may start, what gives way."""
