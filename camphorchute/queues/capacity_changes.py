"""What has changed between two free-capacity reports of a scheduler."""

from camphorchute.contracts.run_messages import GroupChange, GroupFreeCapacity

__all__ = ["find_changes"]


def find_changes(
    earlier: list[GroupFreeCapacity], later: list[GroupFreeCapacity]
) -> list[GroupChange]:
    """Return the change of each group; none if the later report has to be sent completely.

    Args:
        earlier: the report that the receivers have.
        later: the report that they are to have.
    """
    if len(earlier) != len(later):
        return []
    changes: list[GroupChange] = []
    for before, after in zip(earlier, later, strict=True):
        if (
            before.group != after.group
            or before.capacity != after.capacity
            or before.largest != after.largest
            or len(before.workers) != len(after.workers)
        ):
            return []
        workers = {
            index: worker
            for index, worker in enumerate(after.workers)
            if worker != before.workers[index]
        }
        changes.append(
            GroupChange(
                after.group,
                after.waiting_core_ms,
                after.oldest_wait_ms,
                after.late_wait_ms,
                workers,
            )
        )
    return changes
