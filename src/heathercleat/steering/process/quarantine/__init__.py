"""Requests under which targets ended, and the quarantine of those that end them."""
