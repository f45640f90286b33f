"""Handling of a single request: tickets, attempts, retries and look-ups."""
