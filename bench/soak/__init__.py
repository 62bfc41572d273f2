"""Randomised soak runs: real processes, faults drawn from a seed, and checks of every guarantee."""
