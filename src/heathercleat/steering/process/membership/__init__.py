"""Membership of the VMs: heartbeats, gossip and failure detection."""
