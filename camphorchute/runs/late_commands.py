"""Late commands: how long a command without an answer may take until a worker carries it out."""

__all__ = ["LATE_ARRIVAL_MAX_S", "LATE_ARRIVAL_MIN_S"]

LATE_ARRIVAL_MIN_S = 2.0  # or at once, before its answer was missed
LATE_ARRIVAL_MAX_S = 13.0
