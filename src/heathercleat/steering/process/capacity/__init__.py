"""Targets and their slots: owners, queues, room, limits and health."""
