"""Handling of single requests: destinations, attempts, retries and crash limits."""
