"""What lives for a process."""
