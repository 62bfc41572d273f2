"""camphorchute: a dispatcher for sub-second tasks."""
