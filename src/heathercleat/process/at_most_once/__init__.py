"""Requests that run at most once: tickets, claims and outcomes."""
