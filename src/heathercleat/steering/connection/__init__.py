"""Objects with the lifetime of one connection."""
