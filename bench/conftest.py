"""Patch the standard library with gevent before any test, as the program does at its start."""

from gevent import monkey

monkey.patch_all()
