"""Rendezvous hashing: which members are in charge of a key, by the members and the key alone."""

import xxhash

__all__ = ["rendezvous_score"]


def rendezvous_score(member_id: str, key: object) -> int:
    """Return the score of a member for a key; the members with the highest are in charge of it.

    A member that comes or goes changes no order among the others.

    Args:
        member_id: id of the member.
        key: the key, anything with a text of its own.

    Examples:
        >>> rendezvous_score("m1", "flags") == rendezvous_score("m1", "flags")
        True
    """
    return xxhash.xxh64_intdigest(f"{member_id}/{key}".encode())
