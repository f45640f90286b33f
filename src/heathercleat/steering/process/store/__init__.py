"""Tables of the store, followed directly or through other VMs."""
