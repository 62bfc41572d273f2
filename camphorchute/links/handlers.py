"""Registry of message handlers: maps each message type to the method that handles it."""

from collections.abc import Callable

from eliot import log_message, write_traceback

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import InvariantBroken, Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Message, Refused

__all__ = ["Handlers", "handles"]


def handles(message_type: type, nonblocking: bool = False) -> Callable:
    """Mark a method as the handler of a message type.

    Args:
        message_type: type of the messages that the method handles.
        nonblocking: whether the method never blocks and so may run in the greenlet that reads the
            link.
    """

    def mark(method: Callable) -> Callable:
        method.handled_message = (message_type, nonblocking)
        return method

    return mark


class Handlers:
    """The message handlers of one process.

    Args:
        count: increments the counter with the given name.

    Attributes:
        on_invariant_broken: called with the error when a handler raises :class:`InvariantBroken`.

    Examples:
        >>> from camphorchute.contracts.messages import AskStatus, Done
        >>> class StatusComponent:
        ...     @handles(AskStatus)
        ...     def report_status(self, peer, message):
        ...         return Done()
        >>> handlers = Handlers()
        >>> handlers.register(StatusComponent())
        >>> handlers.handle_request(None, AskStatus())
        Done()
    """

    __slots__ = ("count", "on_invariant_broken", "_handlers")

    def __init__(self, count: Callable[[str], None] = lambda name: None) -> None:
        self.count = count
        self.on_invariant_broken: Callable[[InvariantBroken], None] = lambda error: None
        self._handlers: dict[type, tuple[Callable, bool]] = {}

    def register(self, component: object) -> None:
        """Register the methods of a component that are decorated with :func:`handles`."""
        for name in dir(type(component)):
            registration = getattr(getattr(type(component), name), "handled_message", None)
            if registration is not None:
                message_type, nonblocking = registration
                self._handlers[message_type] = (getattr(component, name), nonblocking)

    def is_nonblocking(self, message: Message) -> bool:
        """Whether the handler of a message never blocks; true if the message has no handler."""
        return self._handlers.get(type(message), (None, True))[1]

    def handle_one_way(self, peer: Member, message: Message) -> None:
        """Handle a one-way message; a refusal is only counted."""
        reply = self.handle_request(peer, message)
        if isinstance(reply, Refused):
            self.count(f"links.one_way_refused.{ResultCode(reply.code).name.lower()}")

    def handle_request(self, peer: Member, message: Message) -> Message:
        """Handle a request and return its reply; an error becomes a :class:`Refused` reply."""
        handler = self._handlers.get(type(message), (None, True))[0]
        if handler is None:
            name = type(message).__name__
            return Refused(int(ResultCode.MALFORMED_MESSAGE), f"no handler for message type {name}")
        try:
            return handler(peer, message)
        except Refusal as refusal:
            return Refused(
                int(refusal.code),
                refusal.detail,
                refusal.retry_after_ms,
                getattr(refusal, "record", b""),
            )
        except InvariantBroken as error:
            self.on_invariant_broken(error)
            return Refused(int(ResultCode.INTERNAL), str(error))
        except Exception as error:  # noqa: BLE001 - the peer must receive a reply
            self.count("links.handler_fault")
            write_traceback()
            return Refused(int(ResultCode.INTERNAL), f"{type(message).__name__}: {error!r}")

    def log_error(self, text: str, error: Exception) -> None:
        """Log an error on a link."""
        log_message(message_type="links", text=text, error=str(error))
