"""The laburnumgated daemon, which runs on each entry host."""
