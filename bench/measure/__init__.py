"""Benchmark of placement, and what the other measurements share with it."""
