"""Steering of requests to targets that come and go by service discovery."""
