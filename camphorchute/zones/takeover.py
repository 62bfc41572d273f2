"""Decide whether the keys accepted in an earlier term of a shard have all been recovered."""

from enum import Enum

from camphorchute.zones.record import Term

__all__ = ["TermRecovery", "term_recovery"]


class TermRecovery(Enum):
    """Recovery state of an earlier term: what is known of the keys accepted in it."""

    WHOLE = "every accepted key is known"
    LOST = "no more can be accepted; some accepted keys may be unknown"
    OPEN = "more may be accepted still"


def term_recovery(term: Term, fenced: set[str], dead: set[str]) -> TermRecovery:
    """Return the recovery state of a term, given the members that have been fenced.

    At least one witness acknowledged each accepted key. The term is therefore ``WHOLE`` when its
    owner has been fenced, or all its witnesses have. It is ``LOST`` when every witness has been
    fenced or is proved dead: no further key can be accepted, but some accepted keys may be
    missing. A term without witnesses is ``LOST`` when its owner is proved dead. Otherwise it is
    ``OPEN``.

    Args:
        term: the earlier term.
        fenced: ids of the members that refuse the term from now on and have returned the keys
            they hold.
        dead: ids of the members that are proved dead.

    Examples:
        >>> term = Term(4, "a", ("b", "c"))
        >>> term_recovery(term, {"b", "c"}, set())
        <TermRecovery.WHOLE: 'every accepted key is known'>
        >>> term_recovery(term, {"b"}, {"a"})
        <TermRecovery.OPEN: 'more may be accepted still'>
        >>> term_recovery(term, {"b"}, {"a", "c"}).name
        'LOST'
    """
    witnesses = set(term.witnesses)
    if term.owner in fenced or (witnesses and witnesses <= fenced):
        return TermRecovery.WHOLE
    if not witnesses:
        return TermRecovery.LOST if term.owner in dead else TermRecovery.OPEN
    return TermRecovery.LOST if witnesses <= fenced | dead else TermRecovery.OPEN
