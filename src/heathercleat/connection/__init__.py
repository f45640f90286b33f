"""Connections of callers, targets, operators and other VMs."""
