"""Benchmark of task placement, and the workload and reporting code shared with other benchmarks."""
