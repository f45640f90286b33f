"""What lives for one version of the operators' configuration."""
