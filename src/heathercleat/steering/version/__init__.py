"""Objects with the lifetime of one version of the operators' configuration."""
