"""Memory for the bodies of requests and responses, where callers compete for it."""
