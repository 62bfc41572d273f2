"""The cli part."""
