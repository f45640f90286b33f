"""The daemon of an entry VM: its state, background loops and listeners."""
