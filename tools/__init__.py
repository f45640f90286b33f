"""Tools of the build."""
