"""Benchmarks with bounds against regressions."""
