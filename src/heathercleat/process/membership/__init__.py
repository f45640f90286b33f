"""Which VMs take part, and how they talk to each other."""
