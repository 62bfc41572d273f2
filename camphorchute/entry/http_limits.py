"""Limits on what an HTTP server holds for its callers."""

__all__ = ["HttpLimits"]


class HttpLimits:
    """Limits on what an HTTP server holds for its callers.

    Attributes:
        body_max_bytes: the largest accepted body of a request.
        receive_max_bytes: the largest sum of the bodies of all requests.
        connections_max: the largest number of open connections.
    """

    __slots__ = ("body_max_bytes", "receive_max_bytes", "connections_max")

    def __init__(self, body_max_bytes: int, receive_max_bytes: int, connections_max: int) -> None:
        self.body_max_bytes = body_max_bytes
        self.receive_max_bytes = receive_max_bytes
        self.connections_max = connections_max
