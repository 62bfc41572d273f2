"""The zones part."""
