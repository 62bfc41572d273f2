"""Owner fields: what log lines on the runs of a task say of its dispatch and its owner."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from camphorchute.runs.owner_contacts import OwnerContacts
    from camphorchute.runs.run import PendingTask

__all__ = ["owner_fields"]

MS_PER_S = 1000.0


def owner_fields(task: PendingTask, contacts: OwnerContacts) -> dict[str, object]:
    """Return the fields on the last dispatch of a task.

    Args:
        task: the task.
        contacts: when the owners were last known to be running.

    Returns:
        The number of the dispatch, the member id of the owner, and how long ago the owner was last
        known to be running in whole milliseconds, None if no link to it is open.

    Examples:
        >>> from types import SimpleNamespace as Fake
        >>> contacts = Fake(running_at_s=lambda owner_id: time.monotonic() - 0.25)
        >>> fields = owner_fields(Fake(dispatch=7, owner_id="c3aed5b6f097"), contacts)
        >>> fields["dispatch"], fields["owner"], 250 <= fields["owner_seen_ms"] < 2000
        (7, 'c3aed5b6f097', True)
    """
    running_at_s = contacts.running_at_s(task.owner_id)
    is_linked = running_at_s > float("-inf")
    seen_ms = round((time.monotonic() - running_at_s) * MS_PER_S) if is_linked else None
    return {"dispatch": task.dispatch, "owner": task.owner_id, "owner_seen_ms": seen_ms}
