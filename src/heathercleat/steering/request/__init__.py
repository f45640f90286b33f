"""Objects with the lifetime of one request."""
