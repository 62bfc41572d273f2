from io import BytesIO

import pytest
from gevent.pywsgi import headers_factory

from camphorchute.entry import request_headers
from camphorchute.entry.request_headers import (
    HEADERS_MAX_BYTES,
    HeadersTooLarge,
    RequestHeaders,
    read_headers,
)

SIMPLE = [
    b"\r\n",
    b"Host: a.example\r\nX-Empty:\r\ncontent-type:application/json\r\n\r\n",
    b"Content-Length: 3\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
]
OTHERS = [
    b"",
    b"Host: a\n\n",
    b"Host: a\r\n folded\r\n\r\n",
    b"no colon\r\n\r\n",
    b"Host : a\r\n\r\n",
    b"X: caf\xe9\r\n\r\n",
    b"X: a\x00b\r\n\r\n",
    b"X: a\tb\r\n\r\n",
    b"Host: cut off",
    b"X: 1\r\n" * 101 + b"\r\n",
]


def outcome_of(parse, data):
    """Return everything that gevent's request handler reads, or the type of the error."""
    try:
        headers = parse(BytesIO(data))
    except Exception as error:  # noqa: BLE001 - compared with that of the other parser
        return type(error)
    names = ("Host", "x-empty", "content-length", "transfer-encoding", "connection", "x")
    return headers.status, list(headers.headers), headers.typeheader, [*map(headers.get, names)]


@pytest.mark.parametrize("data", SIMPLE + OTHERS, ids=lambda data: repr(data[:24]))
def test_headers_are_read_as_the_general_parser_reads_them(data):
    assert outcome_of(read_headers, data) == outcome_of(headers_factory, data)


@pytest.mark.parametrize("data", SIMPLE, ids=lambda data: repr(data[:24]))
def test_plain_headers_do_not_pass_through_the_general_parser(data, monkeypatch):
    """The parser for e-mail messages cost more than the rest of a request line and headers."""
    monkeypatch.setattr(request_headers, "headers_factory", None)
    headers = read_headers(BytesIO(data))
    assert isinstance(headers, RequestHeaders)
    del headers["Content-Length"]
    assert headers.get("content-length") is None
    assert not any("Length" in line for line in headers.headers)


# Each line had a limit, but not all lines together, so that one request could take 6.5 MB.
@pytest.mark.parametrize(
    ("data", "is_too_large"),
    [
        (b"X: " + b"a" * 70_000 + b"\r\n\r\n", True),
        (b"X: " + b"a" * 70_000, True),
        (b"".join(b"X-%d: %b\r\n" % (n, b"a" * 1000) for n in range(90)) + b"\r\n", True),
        (b"X: " + b"a" * (HEADERS_MAX_BYTES - 7) + b"\r\n\r\n", False),
        (b"X: " + b"a" * (HEADERS_MAX_BYTES - 6) + b"\r\n\r\n", True),
    ],
    ids=["one line", "line without end", "many lines", "exactly", "one byte more"],
)
def test_all_headers_together_have_a_limit(data, is_too_large):
    stream = BytesIO(data + b"a" * 10_000)
    if not is_too_large:
        assert len(read_headers(stream).get("x")) == HEADERS_MAX_BYTES - 7
        return
    with pytest.raises(HeadersTooLarge):
        read_headers(stream)
    assert stream.tell() <= HEADERS_MAX_BYTES + 1
