"""Bounds the memory for the bodies of requests, over all connections of a server."""

from collections.abc import Callable

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.retry_after import spread_retry_after_ms

__all__ = ["ReceiveBudget", "Reservation"]

SMALL_BODY_MAX_BYTES = 16_384
LARGE_BODIES_SHARE = 0.75


class ReceiveBudget:
    """Bytes that bodies may hold from their receipt to the response.

    If there is no room for a body, those that have been incomplete for longest are given up, since
    callers that keep to the limits send theirs in a short time. Bodies over
    ``SMALL_BODY_MAX_BYTES`` leave a part to the small ones.

    Args:
        max_bytes: the largest sum of all bodies.
        count: adds to a named counter.

    Examples:
        >>> budget = ReceiveBudget(100_000, lambda name, n=1: None)
        >>> first, second = budget.open(lambda: None), budget.open(lambda: None)
        >>> first.grow_to(50_000)
        >>> second.grow_to(40_000)
        >>> first.is_given_up, budget.held_bytes
        (True, 40000)
    """

    __slots__ = ("held_bytes", "_max_bytes", "_count", "_incomplete")

    def __init__(self, max_bytes: int, count: Callable[..., None]) -> None:
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._count = count
        self._incomplete: dict[Reservation, None] = {}  # in the order in which they were opened

    def open(self, give_up: Callable[[], None]) -> "Reservation":
        """Return a reservation of nothing for a body that is about to be received.

        Args:
            give_up: called once if others need the memory of the body; it ends the receipt.
        """
        reservation = Reservation(self, give_up)
        self._incomplete[reservation] = None
        return reservation

    def make_room(self, reservation: "Reservation", extra_bytes: int) -> bool:
        """Reserve further bytes; return whether there was or could be made room for them.

        Args:
            reservation: the reservation that grows.
            extra_bytes: number of bytes.
        """
        is_small = reservation.held_bytes + extra_bytes <= SMALL_BODY_MAX_BYTES
        limit_bytes = self._max_bytes * (1.0 if is_small else LARGE_BODIES_SHARE)
        while self.held_bytes + extra_bytes > limit_bytes:
            oldest = next(iter(self._incomplete), reservation)
            if oldest is reservation:
                self._count("http.receive_full")
                return False
            self._count("http.receive_given_up")
            oldest.give_up()
        self.held_bytes += extra_bytes
        return True

    def end_receipt(self, reservation: "Reservation") -> None:
        """Give a reservation up no more: its body is complete, or is not received any further."""
        self._incomplete.pop(reservation, None)


class Reservation:
    """Bytes reserved for one body.

    Args:
        budget: the budget of the server.
        give_up: called once if others need the memory of the body.

    Attributes:
        held_bytes: number of bytes reserved.
        is_given_up: whether others needed them.
    """

    __slots__ = ("held_bytes", "is_given_up", "_budget", "_give_up")

    def __init__(self, budget: ReceiveBudget, give_up: Callable[[], None]) -> None:
        self.held_bytes = 0
        self.is_given_up = False
        self._budget = budget
        self._give_up = give_up

    def grow_to(self, size_bytes: int) -> None:
        """Reserve bytes up to a total size.

        Args:
            size_bytes: size of the body so far, or of the whole body if it is known.

        Raises:
            Refusal: ``OVERLOADED``; the request was not accepted and may be sent again.
        """
        self.check()
        extra_bytes = size_bytes - self.held_bytes
        if extra_bytes > 0:
            if not self._budget.make_room(self, extra_bytes):
                raise _refusal()
            self.held_bytes = size_bytes

    def check(self) -> None:
        """Check that the body has not been given up.

        Raises:
            Refusal: ``OVERLOADED``, as above.
        """
        if self.is_given_up:
            raise _refusal()

    def end_receipt(self) -> None:
        """Keep the bytes until `close`: the body is complete."""
        self.check()
        self._budget.end_receipt(self)

    def give_up(self) -> None:
        """Release the bytes for other bodies and end the receipt."""
        self.is_given_up = True
        self.close()
        self._give_up()

    def close(self) -> None:
        """Release the bytes."""
        self._budget.end_receipt(self)
        self._budget.held_bytes -= self.held_bytes
        self.held_bytes = 0


def _refusal() -> Refusal:
    return Refusal(
        ResultCode.OVERLOADED, "no memory for the body of the request", spread_retry_after_ms()
    )
