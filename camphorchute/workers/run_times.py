"""Run times learned from what was seen."""

__all__ = ["RunTimes"]

WEIGHT_MIN = 0.1
KINDS_MAX = 10_000


class _Learned:
    __slots__ = ("run_ms", "samples")

    def __init__(self, run_ms: float) -> None:
        self.run_ms = run_ms
        self.samples = 0


class RunTimes:
    """Run time of each kind of task of each service.

    The declared run time counts as the first sample; later samples weigh ``1 / n`` at first and
    at least a tenth.

    Examples:
        >>> times = RunTimes()
        >>> times.estimate_ms("flags", "check", declared_ms=1000.0)
        1000.0
        >>> times.learn("flags", "check", 100.0, declared_ms=1000.0)
        >>> times.estimate_ms("flags", "check", declared_ms=1000.0)
        550.0
    """

    __slots__ = ("_learned",)

    def __init__(self) -> None:
        self._learned: dict[tuple[str, str], _Learned] = {}

    def estimate_ms(self, service: str, kind: str, declared_ms: float) -> float:
        """Return the run time to expect."""
        learned = self._learned.get((service, kind))
        return learned.run_ms if learned is not None else declared_ms

    def learn(self, service: str, kind: str, run_ms: float, declared_ms: float) -> None:
        """Note a run time that was seen."""
        learned = self._learned.get((service, kind))
        if learned is None:
            if len(self._learned) >= KINDS_MAX:
                del self._learned[next(iter(self._learned))]
            learned = self._learned[(service, kind)] = _Learned(declared_ms)
        learned.samples += 1
        weight = max(WEIGHT_MIN, 1 / (learned.samples + 1))
        learned.run_ms += weight * (run_ms - learned.run_ms)
