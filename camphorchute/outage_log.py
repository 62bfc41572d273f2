"""Log lines about a dependency that is lost and comes back, one for each outage."""

import time

from eliot import log_message

__all__ = ["OutageLog"]

LINES_INTERVAL_MS = 10_000.0
MS_PER_S = 1000.0


class OutageLog:
    """Reports an outage of a dependency in two lines: one when it begins, one when it is over.

    Several parts of a process use the dependency. An outage begins with the first failed call of
    any of them, and is over once each part whose call failed has had an answer. Outages that begin
    within ``LINES_INTERVAL_MS`` of the last reported one are reported only if they last longer;
    the next line has the number of those that did not in its field ``short_outages``.

    Args:
        component: log prefix and message type.
        dependency: name of the dependency.

    Examples:
        >>> outage = OutageLog("doc", "store")
        >>> outage.record_failure("lease", "timeout")
        >>> outage.is_lost
        True
        >>> outage.record_answer("lease")
        >>> outage.is_lost
        False
    """

    __slots__ = (
        "_component",
        "_dependency",
        "_failing_users",
        "_began_s",
        "_failed_calls",
        "_is_reported",
        "_last_reported_s",
        "_short_outages",
    )

    def __init__(self, component: str, dependency: str) -> None:
        self._component = component
        self._dependency = dependency
        self._failing_users: set[str] = set()
        self._began_s = 0.0
        self._failed_calls = 0
        self._is_reported = False
        self._last_reported_s: float | None = None
        self._short_outages = 0

    @property
    def is_lost(self) -> bool:
        """Whether the last call of a part of the process has failed."""
        return bool(self._failing_users)

    def record_failure(self, user: str, detail: str) -> None:
        """Record a failed call; write the line of an outage that is due for one.

        Args:
            user: the part of the process that made the call.
            detail: what was seen, for the log.
        """
        now_s = time.monotonic()
        if not self._failing_users:
            self._began_s = now_s
            self._failed_calls = 0
        self._failing_users.add(user)
        self._failed_calls += 1
        if not self._is_reported and self._may_report(now_s):
            self._is_reported = True
            self._last_reported_s = now_s
            self._write("does not answer", now_s, user=user, error=detail)

    def record_answer(self, user: str) -> None:
        """Record an answer; write the last line of an outage that is over.

        Args:
            user: the part of the process that got the answer, or that needs none any more.
        """
        if user not in self._failing_users:
            return
        self._failing_users.discard(user)
        if self._failing_users:
            return
        if self._is_reported:
            self._is_reported = False
            self._write("answers again", time.monotonic())
        else:
            self._short_outages += 1

    def forget_user(self, user: str) -> None:
        """Forget a part of the process that makes no more calls; an outage that only it saw ends.

        Args:
            user: the part of the process.
        """
        self._failing_users.discard(user)
        if not self._failing_users:
            self._is_reported = False

    def _may_report(self, now_s: float) -> bool:
        if self._last_reported_s is None:
            return True
        return (now_s - self._last_reported_s) * MS_PER_S >= LINES_INTERVAL_MS

    def _write(self, event: str, now_s: float, **fields: object) -> None:
        """Write a line with the duration and the failed calls of the outage until now."""
        if self._short_outages:
            fields["short_outages"] = self._short_outages
            self._short_outages = 0
        log_message(
            message_type=self._component,
            text=f"{self._component}: {self._dependency} {event}",
            away_ms=round((now_s - self._began_s) * MS_PER_S),
            failed_calls=self._failed_calls,
            **fields,
        )
