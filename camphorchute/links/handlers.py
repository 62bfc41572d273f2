"""What a process does with each type of message: a registry that decorators fill."""

from collections.abc import Callable

from eliot import log_message, write_traceback

from camphorchute.contracts.codes import ResultCode
from camphorchute.contracts.errors import InvariantBroken, Refusal
from camphorchute.contracts.member import Member
from camphorchute.contracts.messages import Message, Refused

__all__ = ["Handlers", "handles"]


def handles(message_type: type, prompt: bool = False) -> Callable:
    """Mark a method as the handler of a message type.

    Args:
        message_type: the type that it handles.
        prompt: whether it never waits and may run in the greenlet that reads the link.
    """

    def mark(method: Callable) -> Callable:
        method.handled_message = (message_type, prompt)
        return method

    return mark


class Handlers:
    """The handlers of one process.

    Args:
        count: adds to a named counter.

    Attributes:
        broken: called with the error where a handler found a promise broken.

    Examples:
        >>> from camphorchute.contracts.messages import AskStatus, Done
        >>> class Part:
        ...     @handles(AskStatus)
        ...     def ask(self, peer, message):
        ...         return Done()
        >>> handlers = Handlers()
        >>> handlers.add(Part())
        >>> handlers.answer(None, AskStatus())
        Done()
    """

    __slots__ = ("count", "broken", "_handlers")

    def __init__(self, count: Callable[[str], None] = lambda name: None) -> None:
        self.count = count
        self.broken: Callable[[InvariantBroken], None] = lambda error: None
        self._handlers: dict[type, tuple[Callable, bool]] = {}

    def add(self, part: object) -> None:
        """Take in the marked methods of a part."""
        for name in dir(type(part)):
            handled = getattr(getattr(type(part), name), "handled_message", None)
            if handled is not None:
                message_type, prompt = handled
                self._handlers[message_type] = (getattr(part, name), prompt)

    def is_prompt(self, message: Message) -> bool:
        """Whether a message's handler never waits."""
        return self._handlers.get(type(message), (None, True))[1]

    def tell(self, peer: Member, message: Message) -> None:
        """Handle a one-way message."""
        reply = self.answer(peer, message)
        if isinstance(reply, Refused):
            self.count(f"links.one_way_refused.{ResultCode(reply.code).name.lower()}")

    def answer(self, peer: Member, message: Message) -> Message:
        """Handle a request and return its reply."""
        handler = self._handlers.get(type(message), (None, True))[0]
        if handler is None:
            name = type(message).__name__
            return Refused(int(ResultCode.MALFORMED_MESSAGE), f"{name} is not handled here")
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
            self.broken(error)
            return Refused(int(ResultCode.INTERNAL), str(error))
        except Exception as error:  # noqa: BLE001 - the peer must learn that it failed
            self.count("links.handler_fault")
            write_traceback()
            return Refused(int(ResultCode.INTERNAL), f"{type(message).__name__}: {error!r}")

    def log(self, text: str, error: Exception) -> None:
        """Write a log line about an error on a link."""
        log_message(message_type="links", text=text, error=str(error))
