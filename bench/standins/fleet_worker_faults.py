"""Faults of the stand-in for a fenced worker, and how they apply to its commands."""

import random
from collections.abc import Callable

import gevent

from bench.standins.server import ConnectionDropped, Faults, Reply, Request

__all__ = ["CommandFaults", "FleetWorkerFaults"]

HTTP_OK = 200
MS_PER_S = 1000.0


class FleetWorkerFaults(Faults):
    """Faults of a worker.

    Attributes:
        lose_answers: number of commands that are carried out and whose connection is then
            closed without an answer.
        skip_orders: number of start commands that are neither carried out nor answered.
        fail: whether every run fails.
        stall: whether runs make no progress.
        mute: whether commands are carried out and none is answered.
        start_answer_ms: delay of the answer to a start command, which is carried out at once, in
            milliseconds.
        stop_answer_ms: the same for a stop command.
        poll_answer_ms: the same for a poll.
        late_share: share of the commands that are not answered, and carried out later than newer
            ones; from 0.0 to 1.0.
        late_min_ms: shortest time after which such a command is carried out, in milliseconds.
        late_max_ms: longest such time, in milliseconds.
        late_outlives_restart: whether such a command reaches a later incarnation, too.
        stop_ms: time that a run takes to end after a stop command, in milliseconds.
        has_no_guard: whether it starts runs beyond its capacity instead of refusing them.
        crash_payload: payload of the tasks that crash the worker, none if it is empty.
        crash_after_ms: time from the start of such a task to the crash, in milliseconds.
        crash_down_ms: time from a crash to the start of the next incarnation, in milliseconds.
        crash_renames: whether that incarnation has another id.
    """

    lose_answers: int = 0
    skip_orders: int = 0
    fail: bool = False
    stall: bool = False
    mute: bool = False
    start_answer_ms: float = 0.0
    stop_answer_ms: float = 0.0
    poll_answer_ms: float = 0.0
    late_share: float = 0.0
    late_min_ms: float = 1000.0
    late_max_ms: float = 3000.0
    late_outlives_restart: bool = False
    stop_ms: float = 0.0
    has_no_guard: bool = False
    crash_payload: str = ""
    crash_after_ms: float = 20.0
    crash_down_ms: float = 500.0
    crash_renames: bool = False


class CommandFaults:
    """Applies the faults of a worker to the commands that it receives.

    Args:
        faults: returns the faults in force.
        incarnation: returns the incarnation of the worker that listens, 0 while none does.
        seed: seed of the choice of late commands.
    """

    __slots__ = ("_faults", "_incarnation", "_random")

    def __init__(
        self, faults: Callable[[], FleetWorkerFaults], incarnation: Callable[[], int], seed: str
    ) -> None:
        self._faults = faults
        self._incarnation = incarnation
        self._random = random.Random(seed)

    def handler(
        self, carry_out: Callable[[Request], Reply], answer_delay: str
    ) -> Callable[[Request], Reply]:
        """Return the handler of a command with the faults applied.

        Args:
            carry_out: carries out the command.
            answer_delay: name of the fault that delays its answer.
        """

        def handle(request: Request) -> Reply:
            faults = self._faults()
            if self._random.random() < faults.late_share:
                return self._postpone(carry_out, request)
            reply = carry_out(request)
            delay_ms = getattr(faults, answer_delay)
            if delay_ms:
                gevent.sleep(delay_ms / MS_PER_S)
            if self._faults().mute:
                return self._leave_unanswered(request)
            if reply.status == HTTP_OK and faults.lose_answers:
                faults.lose_answers -= 1
                raise ConnectionDropped
            return reply

        return handle

    def _postpone(self, carry_out: Callable[[Request], Reply], request: Request) -> Reply:
        faults = self._faults()
        delay_ms = self._random.uniform(faults.late_min_ms, faults.late_max_ms)
        gevent.spawn_later(
            delay_ms / MS_PER_S, self._carry_out_late, carry_out, request, self._incarnation()
        )
        return self._leave_unanswered(request)

    def _carry_out_late(
        self, carry_out: Callable[[Request], Reply], request: Request, incarnation: int
    ) -> None:
        present = self._incarnation()
        if present and (present == incarnation or self._faults().late_outlives_restart):
            carry_out(request)

    def _leave_unanswered(self, request: Request) -> Reply:
        """Return a reply that is never sent, since nothing more is sent on its connection."""
        request.connection.is_unresponsive = True
        return Reply(None, 500)
