"""Membership, failure detection and calls between VMs."""
