"""Tools for the build and for checks of the test suite."""
