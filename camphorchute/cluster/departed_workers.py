"""Workers that have left service discovery without a known reason."""

import time

from camphorchute.hosting import WorkerEntry

__all__ = ["DepartedWorkers"]

DEPARTURES_KEPT_S = 600.0


class _Departure:
    """The last entry of a worker, and when this process took the worker for gone."""

    __slots__ = ("entry", "gone_s")

    def __init__(self, entry: WorkerEntry, gone_s: float) -> None:
        self.entry = entry
        self.gone_s = gone_s


class DepartedWorkers:
    """Remembers the workers that may be up although service discovery does not list them.

    A worker that is cut off together with its scheduler still has runs. One that was draining has
    left, and one whose id or address is listed again is either back or was replaced.

    Examples:
        >>> from camphorchute.contracts.resources import Resources
        >>> departed = DepartedWorkers()
        >>> worker = WorkerEntry("w1", 1, "10.0.0.1:80", "flags", "north", Resources(0))
        >>> departed.record_gone(worker)
        >>> departed.last_gone_s("flags") is None, departed.last_gone_s("mail") is None
        (False, True)
        >>> departed.record_listed(worker)
        >>> departed.last_gone_s("flags") is None
        True
    """

    __slots__ = ("_departures",)

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}

    def record_gone(self, entry: WorkerEntry) -> None:
        """Record that a worker is taken for gone.

        Args:
            entry: its last entry.
        """
        if not entry.is_draining:
            self._departures[entry.worker_id] = _Departure(entry, time.monotonic())

    def record_listed(self, entry: WorkerEntry) -> None:
        """Forget the workers whose id or address a listed worker has.

        Args:
            entry: the entry of the listed worker.
        """
        if not self._departures:
            return
        self._departures = {
            worker_id: departure
            for worker_id, departure in self._departures.items()
            if worker_id != entry.worker_id and departure.entry.address != entry.address
        }

    def last_gone_s(self, service: str) -> float | None:
        """Return when the last departed worker of a service was taken for gone.

        The result is a monotonic time in seconds, None if no worker of the service has departed
        lately.

        Args:
            service: name of the service.
        """
        since_s = time.monotonic() - DEPARTURES_KEPT_S
        times_s = [
            departure.gone_s
            for departure in self._departures.values()
            if departure.entry.service == service and departure.gone_s > since_s
        ]
        return max(times_s, default=None)
