"""The jobs part."""
