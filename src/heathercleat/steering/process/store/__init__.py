"""Copies of the store's tables, updated from the store or from other VMs."""
