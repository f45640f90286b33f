"""State for at-most-once requests: claims in the platform's table and outcomes."""
