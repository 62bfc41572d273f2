"""Tests of the randomised soak runs."""
