"""Parsed versions of the operators' configuration and values derived from them."""
