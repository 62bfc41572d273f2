"""Messages between schedulers and the witnesses of their starts."""

import msgspec

__all__ = [
    "AnnounceStarts",
    "AnnouncedStart",
    "ForgetStarts",
    "KnownStart",
    "StartMessage",
    "StartsWitnessed",
]


class AnnouncedStart(msgspec.Struct, array_like=True):
    """A run whose start command is about to be sent.

    Attributes:
        task: name of the task.
        worker_id: the worker.
        group: the group of the worker.
        run: number of the run.
        duration_ms: for how long the run may start or go on without further news of its scheduler,
            in milliseconds from the sending of the message.
    """

    task: str
    worker_id: str
    group: str
    run: int
    duration_ms: float


class AnnounceStarts(msgspec.Struct, tag="announce_starts", array_like=True):
    """Starts of a scheduler that the receiver is to witness; one way.

    The receiver answers with :class:`StartsWitnessed`.

    Attributes:
        number: number of the announcement at its sender, which the answer repeats.
        starts: the starts.
        forgotten: tasks as in :class:`ForgetStarts`, which are forgotten first.
    """

    number: int
    starts: list[AnnouncedStart]
    forgotten: list[str] = []


class KnownStart(msgspec.Struct, array_like=True):
    """A run of another scheduler that a witness knows of.

    Attributes:
        task: name of the task.
        worker_id: the worker.
        group: the group of the worker.
        run: number of the run.
        remaining_ms: for how long the run may start or go on, in milliseconds from the sending of
            the message.
        is_conflict: whether the announced start must not take place beside it.
    """

    task: str
    worker_id: str
    group: str
    run: int
    remaining_ms: float
    is_conflict: bool


class StartsWitnessed(msgspec.Struct, tag="starts_witnessed", array_like=True):
    """Answer of a witness, which remembers the announced starts that are in no conflict; one way.

    Attributes:
        number: number of the announcement.
        known: runs of the announced tasks by other schedulers.
        is_leaving: whether the witness is about to end, so that it remembers nothing for long.
    """

    number: int
    known: list[KnownStart]
    is_leaving: bool = False


class ForgetStarts(msgspec.Struct, tag="forget_starts", array_like=True):
    """Tasks whose announced runs are over or known to another scheduler; one way.

    Attributes:
        tasks: names of the tasks.
    """

    tasks: list[str]


StartMessage = AnnounceStarts | StartsWitnessed | ForgetStarts
