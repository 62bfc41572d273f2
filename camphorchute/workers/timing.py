"""Durations and bounds that a home entry process works with."""

__all__ = ["HomeTiming"]


class HomeTiming:
    """Named durations and bounds; every one can be set by keyword.

    Attributes:
        poll_wait_ms: how long a long poll waits at a worker that runs tasks.
        idle_poll_wait_ms: how long it waits at a worker that runs none.
        poll_retry_ms: wait before the second poll of a silent worker; doubled up to a second.
        check_every_ms: how often a worker's open questions are looked at.
        idle_check_every_ms: how often they are looked at while there is none.
        sweep_every_ms: how often deadlines and reservations are looked at.
        reservation_ms: how long a granted slot is kept.
        find_first_ms: wait before the first question about an unclear start; doubled for each.
        find_max: questions about an unclear start before it counts as lost.
        overdue_min_ms: an attempt is asked about when it has run so long without an answer.
        overdue_factor: and so many times its estimate.
        lost_after_ms: silence of a worker after which its attempts count as lost.
        status_every_ms: how often the status is read while slots are in doubt.
        remember_s: how long an ended task is remembered.
        remember_max_tasks: most ended tasks whose answers are held.
        remember_max_keys: most jobs that are remembered.

    Examples:
        >>> HomeTiming(reservation_ms=100.0).reservation_ms
        100.0
    """

    _DEFAULTS = {
        "poll_wait_ms": 1000.0,
        "idle_poll_wait_ms": 5000.0,
        "poll_retry_ms": 50.0,
        "check_every_ms": 100.0,
        "idle_check_every_ms": 1000.0,
        "sweep_every_ms": 50.0,
        "reservation_ms": 500.0,
        "find_first_ms": 100.0,
        "find_max": 5,
        "overdue_min_ms": 3000.0,
        "overdue_factor": 4.0,
        "lost_after_ms": 4000.0,
        "status_every_ms": 500.0,
        "remember_s": 900.0,
        "remember_max_tasks": 100_000,
        "remember_max_keys": 400_000,
    }
    __slots__ = tuple(_DEFAULTS)

    def __init__(self, **values: float) -> None:
        for name, default in self._DEFAULTS.items():
            setattr(self, name, values.pop(name, default))
        if values:
            raise TypeError(f"no such durations: {sorted(values)}")
