"""Faults of the stand-in for a fenced worker, and how they apply to its commands."""

import json
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
        late_order_share: the same for start and stop commands alone, if it is higher.
        late_stop_share: the same for stop commands alone, if it is higher.
        late_grant_share: the same for polls, which renew the leases, if it is higher.
        late_min_ms: shortest time after which such a command is carried out, in milliseconds.
        late_max_ms: longest such time, in milliseconds.
        late_outlives_restart: whether such a command reaches a later incarnation, too.
        late_moves_deadline: whether the lease that such a command grants lasts as long as if it
            had arrived when it is carried out.
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
    late_order_share: float = 0.0
    late_stop_share: float = 0.0
    late_grant_share: float = 0.0
    late_min_ms: float = 1000.0
    late_max_ms: float = 3000.0
    late_outlives_restart: bool = False
    late_moves_deadline: bool = False
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
        clock_ms: returns the reading of the worker's clock in milliseconds.
        seed: seed of the choice of late commands.
    """

    __slots__ = ("_faults", "_incarnation", "_clock_ms", "_random")

    def __init__(
        self,
        faults: Callable[[], FleetWorkerFaults],
        incarnation: Callable[[], int],
        clock_ms: Callable[[], int],
        seed: str,
    ) -> None:
        self._faults = faults
        self._incarnation = incarnation
        self._clock_ms = clock_ms
        self._random = random.Random(seed)

    def handler(
        self, carry_out: Callable[[Request], Reply], answer_delay: str, *late_shares: str
    ) -> Callable[[Request], Reply]:
        """Return the handler of a command with the faults applied.

        Args:
            carry_out: carries out the command.
            answer_delay: name of the fault that delays its answer.
            late_shares: names of the shares of such commands that are carried out late; the
                highest applies.
        """

        def handle(request: Request) -> Reply:
            faults = self._faults()
            shares = [getattr(faults, name) for name in ("late_share", *late_shares)]
            if self._random.random() < max(shares):
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
        request.delayed_ms = self._random.uniform(faults.late_min_ms, faults.late_max_ms)
        lease_ms = None
        if faults.late_moves_deadline and "deadline-ms" in request.json():
            lease_ms = request.json()["deadline-ms"] - self._clock_ms()
        gevent.spawn_later(
            request.delayed_ms / MS_PER_S,
            self._carry_out_late,
            carry_out,
            request,
            0 if faults.late_outlives_restart else self._incarnation(),
            lease_ms,
        )
        return self._leave_unanswered(request)

    def _carry_out_late(
        self,
        carry_out: Callable[[Request], Reply],
        request: Request,
        incarnation: int,
        lease_ms: float | None,
    ) -> None:
        """Carry a command out if its worker is up.

        Args:
            carry_out: carries out the command.
            request: the command.
            incarnation: the incarnation that may carry it out, 0 if any may.
            lease_ms: time that the lease lasts from now, None if it is that of the command.
        """
        present = self._incarnation()
        if not present or incarnation not in (0, present):
            return
        if lease_ms is not None:
            body = request.json() | {"deadline-ms": self._clock_ms() + lease_ms}
            request.body = json.dumps(body).encode()
        carry_out(request)

    def _leave_unanswered(self, request: Request) -> Reply:
        """Return a reply that is never sent, since nothing more is sent on its connection."""
        request.connection.is_unresponsive = True
        return Reply(None, 500)
