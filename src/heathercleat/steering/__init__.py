"""Request steering with targets found by service discovery."""
