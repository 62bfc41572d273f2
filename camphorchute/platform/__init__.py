"""The platform part."""
