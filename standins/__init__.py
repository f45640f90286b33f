"""Stand-ins for the platform, the targets and the callers, for demos and tests."""
