"""Stand-ins that speak the HTTP protocols of the platform, of workers and of upstreams.

This module imports nothing, since ``__main__`` has to patch the standard library first.
"""
