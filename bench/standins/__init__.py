"""Small processes that take the place of the platform, of workers and of upstreams.

Nothing is imported here: ``__main__`` has to patch the standard library first.
"""
