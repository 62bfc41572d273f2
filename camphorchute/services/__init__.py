"""The services part."""
