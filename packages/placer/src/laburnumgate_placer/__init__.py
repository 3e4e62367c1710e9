"""Places jobs of several steps on endpoints, over a shared log."""
