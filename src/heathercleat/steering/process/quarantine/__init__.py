"""Detection and quarantine of requests that crash targets."""
