"""The links part."""
