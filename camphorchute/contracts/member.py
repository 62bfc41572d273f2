"""The identity of an entry process: its incarnation, location and addresses."""

import msgspec

__all__ = ["Member"]


class Member(msgspec.Struct, frozen=True, omit_defaults=True):
    """An entry process as its peers know it.

    Attributes:
        member_id: random name of this incarnation; a restarted process has a new one.
        zone: availability zone of the process.
        host: the entry VM that it runs on; processes of one VM fail together.
        rack: rack of the VM, empty if not known.
        link_address: ``IP:port`` at which it accepts links from its peers.
        http_address: ``IP:port`` at which it serves callers and operators.

    Examples:
        >>> Member("m1", "north", "vm1", "", "127.0.0.1:7001", "127.0.0.1:8001").zone
        'north'
    """

    member_id: str
    zone: str
    host: str
    rack: str
    link_address: str
    http_address: str
