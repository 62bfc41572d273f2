"""Adapters that implement the interfaces of :mod:`camphorchute.hosting` for actual platforms.

A program imports the module of the platform that it runs on. The others are not loaded, so that a
process starts sooner.
"""
