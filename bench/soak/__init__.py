"""Randomised runs: real processes, faults from a seed, and a checker of every promise."""
