"""Targets and their slots: ownership, admission control, limits and health."""
