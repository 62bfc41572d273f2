"""The entry part."""
