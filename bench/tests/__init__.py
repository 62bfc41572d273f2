"""Tests on running entry processes and on the built executable."""
