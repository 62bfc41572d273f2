"""Tests of the randomised runs."""
