"""Tests run as the program does: with the standard library made cooperative."""

from gevent import monkey

monkey.patch_all()
