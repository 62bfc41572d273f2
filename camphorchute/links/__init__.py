"""Links between entry processes: websocket connections that carry CBOR-encoded messages."""

from camphorchute.links.codec import Frame, FrameKind, decode_frame, encode_frame
from camphorchute.links.handlers import Handlers, handles
from camphorchute.links.link import Link, LinkLost
from camphorchute.links.peers import Peers, PeerUnreachable

__all__ = [
    "Frame",
    "FrameKind",
    "Handlers",
    "Link",
    "LinkLost",
    "PeerUnreachable",
    "Peers",
    "decode_frame",
    "encode_frame",
    "handles",
]
