"""Exit codes of the commands, and the exit code for each result code."""

from enum import IntEnum

from camphorchute.contracts import Fate, ResultCode, code_info

__all__ = ["ExitCode", "exit_code"]


class ExitCode(IntEnum):
    """Exit code of a command.

    Attributes:
        DONE: the request was carried out or accepted.
        REFUSED: the request was certainly refused or failed.
        USAGE: the command line or the settings are invalid; nothing was changed.
        NOT_REACHABLE: the entry process cannot be reached; nothing was changed.
        UNKNOWN: the request may have taken effect.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_REACHABLE = 3
    UNKNOWN = 4


_DONE_CODES = (ResultCode.COMPLETE, ResultCode.ACCEPTED)


def exit_code(code: int) -> ExitCode:
    """Return the exit code for a result code; `ExitCode.UNKNOWN` for an unknown one.

    Args:
        code: the number of a `ResultCode`.

    Examples:
        >>> exit_code(ResultCode.PLAN_OUTDATED), exit_code(ResultCode.CONFIRM_UNKNOWN)
        (<ExitCode.REFUSED: 1>, <ExitCode.UNKNOWN: 4>)
    """
    try:
        result = ResultCode(code)
    except ValueError:
        return ExitCode.UNKNOWN
    if result in _DONE_CODES:
        return ExitCode.DONE
    if result is ResultCode.CONFIRM_UNKNOWN:
        return ExitCode.UNKNOWN
    if code_info(result).fate in (Fate.UNKNOWN, Fate.MAY_HAVE_RUN):
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED
