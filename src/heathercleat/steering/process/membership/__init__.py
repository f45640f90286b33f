"""Which VMs take part, as heard from their heartbeats."""
