"""Measurements with regression bounds."""
