"""Decision logic of laburnumgate without I/O."""
