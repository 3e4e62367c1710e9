"""RPC messages and services between laburnumgate hosts."""
