"""Patch the standard library with gevent before the tests are imported, as the program does."""

from gevent import monkey

monkey.patch_all()
