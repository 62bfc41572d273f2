"""The short path reads an answer as the parser does, or leaves it to the parser."""

import pytest
from geventhttpclient.response import HTTPParseError
from hypothesis import example, given, settings
from hypothesis import strategies as st

from camphorchute.workers import http_answer
from camphorchute.workers.http_answer import read_answer, read_parsed_answer

PLAIN = (
    b"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nConnection: keep-alive\r\nCONTENT-length:2\r\n\r\nok"
)


class Blocks:
    """Stands for a connection that brings some blocks and then ends."""

    def __init__(self, blocks):
        self.blocks = [block for block in blocks if block]

    def recv(self, size_bytes):
        return self.blocks.pop(0) if self.blocks else b""

    def close(self):
        pass


def outcome(read, blocks, method):
    """Return what a function makes of an answer, and how many blocks it has left unread."""
    reader = Blocks(blocks)
    try:
        answer, is_reusable = read(reader, method)
    except HTTPParseError:
        return "lost"
    except Exception as error:  # the channel does not wrap these: both paths must raise them
        return type(error)
    return answer.status, answer.headers, answer.body, is_reusable, len(reader.blocks)


def any_case(text):
    return st.lists(st.booleans(), min_size=len(text), max_size=len(text)).map(
        lambda upper: "".join(c.upper() if u else c for c, u in zip(text, upper, strict=True))
    )


NAMES = st.sampled_from(
    ["content-length", "content-type", "connection", "transfer-encoding", "upgrade", "x-a", "x a"]
    + ["keep-alive", "trailer", "proxy-connection", "date", "x_b", "", "te"]
).flatmap(any_case)
VALUES = st.sampled_from(
    ["0", "1", "2", "5", "02", "+2", "2 ", " 2", "\t2", "2, 2", "", "close", "keep-alive", "Close"]
    + ["chunked", "identity", "websocket", "upgrade", "a\tb", "\x7f", "\xe4", "a\r\n b", "\x00"]
)
HEADERS = st.lists(st.tuples(NAMES, st.sampled_from([": ", ":", " : ", ":\t"]), VALUES), max_size=4)
STATUS_LINES = st.sampled_from(
    ["HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "http/1.1 200 OK"]
    + ["HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified", "HTTP/1.1 100 Continue"]
    + ["HTTP/1.1 409 Conflict", "HTTP/1.1 599 \xe4", "HTTP/1.1 99 A", "HTTP/1.1  200 OK", "HTTP"]
)
BODIES = st.sampled_from([b"", b"o", b"ok", b"hello", b"2\r\nok\r\n0\r\n\r\n", PLAIN, b"ok\r\n"])


@st.composite
def answers(draw):
    """Draw the bytes of an answer: mostly well-formed, some truncated or with a changed byte."""
    body = draw(BODIES)
    lines = [draw(STATUS_LINES)]
    headers = [f"{name}{separator}{value}" for name, separator, value in draw(HEADERS)]
    if draw(st.booleans()):
        headers.append(f"{draw(any_case('content-length'))}: {len(body)}")
    lines += draw(st.permutations(headers))
    data = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
    data += draw(st.sampled_from([b"", b"", b"", b"x", b"\r\n", PLAIN]))
    if draw(st.integers(0, 3)) == 0:
        data = data[: draw(st.integers(0, len(data)))]
    if data and draw(st.integers(0, 3)) == 0:
        place = draw(st.integers(0, len(data) - 1))
        data = data[:place] + draw(st.binary(max_size=2)) + data[place + 1 :]
    return data


@settings(max_examples=1500, deadline=None)
@given(
    answers(),
    st.lists(st.integers(0, 300), max_size=4),
    st.sampled_from(["GET", "POST", "HEAD", "CONNECT"]),
)
@example(PLAIN, [], "POST")
@example(PLAIN + PLAIN, [], "POST")
@example(PLAIN + PLAIN, [len(PLAIN)], "POST")
def test_short_path_has_the_outcome_of_the_parser(data, cuts, method):
    """Guards against an answer that is taken as complete, reusable or different by one path."""
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    blocks = [data[a:b] for a, b in zip(places, places[1:], strict=False)]
    assert outcome(read_answer, blocks, method) == outcome(read_parsed_answer, blocks, method)


@pytest.mark.parametrize(
    ("blocks", "is_plain"),
    [
        ([PLAIN], True),
        ([PLAIN[:-1], PLAIN[-1:]], True),
        ([PLAIN[:20], PLAIN[20:]], False),
        ([PLAIN.replace(b"keep-alive", b"close")], False),
        ([PLAIN + b"x"], False),
    ],
    ids=["whole", "body in two blocks", "head in two blocks", "closed after it", "stray byte"],
)
def test_parser_is_used_only_where_needed(monkeypatch, blocks, is_plain):
    """Guards against a short path that plain answers do not take."""
    parsed = []
    monkeypatch.setattr(
        http_answer,
        "read_parsed_answer",
        lambda reader, method: parsed.append(method) or read_parsed_answer(reader, method),
    )
    outcome(read_answer, blocks, "POST")
    assert (not parsed) == is_plain


@pytest.mark.parametrize("size_bytes", [1, 17, len(PLAIN) - 1, len(PLAIN)])
@pytest.mark.parametrize("first", [PLAIN, PLAIN.replace(b"CONTENT-length:2", b"Content-Length:0")])
def test_answer_with_the_start_of_another_one_is_lost(first, size_bytes):
    """The body of the second answer was taken for the end of the first one's."""
    first = first if b"length:2" in first else first[:-2]
    with pytest.raises(HTTPParseError):
        read_answer(Blocks([first + PLAIN[:size_bytes]]), "POST")
