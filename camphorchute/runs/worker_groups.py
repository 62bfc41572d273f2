"""Worker groups: the workers of a service and zone that one entry process gives orders to."""

import xxhash

__all__ = ["group_count", "group_of", "zone_of_group"]

GROUP_WORKERS = 12
SEPARATOR = "/"


def group_count(workers: int) -> int:
    """Return into how many groups the workers of one service and zone fall, a power of two.

    Examples:
        >>> [group_count(workers) for workers in (0, 8, 12, 13, 60)]
        [1, 1, 1, 2, 8]
    """
    count = 1
    while count * GROUP_WORKERS < workers:
        count *= 2
    return count


def group_of(zone: str, service: str, worker_id: str, count: int) -> str:
    """Return the group of a worker.

    Examples:
        >>> group_of("north", "flags", "w1", 1)
        'north/flags/0'
    """
    number = xxhash.xxh32_intdigest(worker_id.encode()) % count
    return SEPARATOR.join((zone, service, str(number)))


def zone_of_group(group: str) -> str:
    """Return the availability zone of a group.

    Examples:
        >>> zone_of_group("north/flags/0")
        'north'
    """
    return group.partition(SEPARATOR)[0]
