"""Seeded randomised runs of schedulers and owners in one process, with a check on their runs."""
