"""Durations and bounds of a scheduler."""

__all__ = ["SchedulerTiming"]


class SchedulerTiming:
    """Durations and bounds of a scheduler, each of which can be set by keyword.

    Attributes:
        poll_wait_ms: time that a long poll waits at a worker that runs tasks.
        idle_poll_wait_ms: time that a long poll waits at a worker that runs none.
        poll_retry_ms: wait after the second consecutive poll without an answer, doubled with each
            further one up to a second.
        check_every_ms: interval of the checks of a worker with open attempts, with slots that
            others occupy, or without an answer to the last request.
        idle_check_every_ms: interval of the checks of any other worker.
        sweep_every_ms: interval of the sweep over deadlines and reservations.
        reservation_ms: time for which a granted slot is reserved.
        find_first_ms: wait before the first query about an unclear start, doubled for each further
            one.
        find_max: queries about an unclear start before its attempt counts as lost.
        overdue_min_ms: an attempt without an answer is overdue, and queried, after this time...
        overdue_factor: ... and after its estimated run time multiplied by this factor.
        lost_after_ms: time without an answer after which a worker's attempts count as lost.
        status_every_ms: interval of reading a worker's status while its slot count is uncertain.
        remember_s: time for which an ended task is remembered.
        remember_max_tasks: maximum number of ended tasks whose answers are stored.
        remember_max_keys: maximum number of jobs that are remembered.

    Examples:
        >>> SchedulerTiming(reservation_ms=100.0).reservation_ms
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
            raise TypeError(f"unknown durations or bounds: {sorted(values)}")
