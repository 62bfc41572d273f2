"""The entry process: its HTTP endpoints and the assembly of its components."""
