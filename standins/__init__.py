"""Fake platforms, targets and callers, used by demos, tests and benchmarks."""
