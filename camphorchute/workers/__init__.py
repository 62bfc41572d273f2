"""The workers part."""
