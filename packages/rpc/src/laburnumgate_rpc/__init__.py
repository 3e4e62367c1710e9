"""Messages between laburnumgate hosts."""
