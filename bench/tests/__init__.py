"""Tests of the running processes."""
