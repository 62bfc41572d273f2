"""When the records of an earlier term are all gathered: the takeover rule."""

from enum import Enum

from camphorchute.zones.record import Term

__all__ = ["Gathered", "term_gathered"]


class Gathered(Enum):
    """What is known of the keys that were accepted in a term."""

    WHOLE = "every accepted key is known"
    LOST = "no more can be accepted; some accepted keys may be unknown"
    OPEN = "more may be accepted still"


def term_gathered(term: Term, fenced: set[str], dead: set[str]) -> Gathered:
    """Return what is known of a term, from the members that answered the fence.

    Each acceptance was acknowledged by one witness at least. So the term is whole when its owner
    has answered, or all its witnesses have; and it is over, with records that may be lost, when
    every witness has answered or is proved dead. A term without witnesses is over when its owner
    is.

    Args:
        term: the earlier term.
        fenced: members that refuse the term from now on and have told what they hold.
        dead: members that are proved dead.

    Examples:
        >>> term = Term(4, "a", ("b", "c"))
        >>> term_gathered(term, {"b", "c"}, set())
        <Gathered.WHOLE: 'every accepted key is known'>
        >>> term_gathered(term, {"b"}, {"a"})
        <Gathered.OPEN: 'more may be accepted still'>
        >>> term_gathered(term, {"b"}, {"a", "c"}).name
        'LOST'
    """
    witnesses = set(term.witnesses)
    if term.owner in fenced or (witnesses and witnesses <= fenced):
        return Gathered.WHOLE
    if not witnesses:
        return Gathered.LOST if term.owner in dead else Gathered.OPEN
    return Gathered.LOST if witnesses <= fenced | dead else Gathered.OPEN
