"""The laburnumgate command for operators and callers."""
