"""Errors that carry a result code."""

from camphorchute.contracts.codes import ResultCode, code_info

__all__ = ["Refusal", "InvariantBroken"]


class Refusal(Exception):  # noqa: N818
    """A request ends with a result code other than ``COMPLETE``.

    Args:
        code: the result code.
        detail: what exactly was wrong, with the offending value; the meaning of the code if empty.
        retry_after_ms: time after which the sender should retry; 0 if a retry makes no sense.
        tasks_maybe_run: indices of the tasks that may have run.

    Examples:
        >>> str(Refusal(ResultCode.TOO_MANY_TASKS, "151 tasks, at most 150"))
        '103 too_many_tasks: 151 tasks, at most 150'
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        retry_after_ms: int = 0,
        tasks_maybe_run: tuple[int, ...] = (),
    ) -> None:
        self.code = ResultCode(code)
        self.detail = detail or code_info(self.code).meaning
        self.retry_after_ms = retry_after_ms
        self.tasks_maybe_run = tasks_maybe_run
        super().__init__(f"{int(self.code)} {self.code.name.lower()}: {self.detail}")


class InvariantBroken(Exception):  # noqa: N818
    """An invariant of the program does not hold, which is a bug in the program.

    The text begins with the name of the invariant and a colon.

    Examples:
        >>> InvariantBroken("one_start_per_task: job k, task 3").name
        'one_start_per_task'
    """

    @property
    def name(self) -> str:
        """Name of the invariant that does not hold."""
        return str(self).partition(":")[0]
