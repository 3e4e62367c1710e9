"""The entry host's daemon, laburnumgated."""
