"""Stand-ins, load, demo, soak and reports; not shipped."""
