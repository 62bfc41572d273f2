"""HTTP connections to workers, upstreams and the store, with timeouts of their own."""

from camphorchute.transport.http_channel import AnswerLost, HttpAnswer, HttpChannel, NotSent

__all__ = ["AnswerLost", "HttpAnswer", "HttpChannel", "NotSent"]
