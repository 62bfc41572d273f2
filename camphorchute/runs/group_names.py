"""Names of worker groups: subsets of the workers of a service and zone, each with one scheduler."""

import xxhash

__all__ = ["group_count", "group_name", "group_of", "zone_of_group"]

MAX_WORKERS_PER_GROUP = 12
GROUP_SEPARATOR = "/"


def group_count(workers: int) -> int:
    """Return the number of groups for the workers of one service and zone, a power of two.

    Args:
        workers: number of workers.

    Examples:
        >>> [group_count(workers) for workers in (0, 8, 12, 13, 60)]
        [1, 1, 1, 2, 8]
    """
    count = 1
    while count * MAX_WORKERS_PER_GROUP < workers:
        count *= 2
    return count


def group_of(zone: str, service: str, worker_id: str, count: int) -> str:
    """Return the name of the group that a worker belongs to.

    Args:
        zone: availability zone of the worker.
        service: service of the worker.
        worker_id: id of the worker.
        count: number of groups of this service and zone, see :func:`group_count`.

    Examples:
        >>> group_of("north", "flags", "w1", 1)
        'north/flags/0'
    """
    number = xxhash.xxh32_intdigest(worker_id.encode()) % count
    return group_name(zone, service, number)


def group_name(zone: str, service: str, number: int) -> str:
    """Return the name of a group by its number.

    Args:
        zone: availability zone of its workers.
        service: service of its workers.
        number: number of the group among those of this service and zone.
    """
    return GROUP_SEPARATOR.join((zone, service, str(number)))


def zone_of_group(group: str) -> str:
    """Return the availability zone of a group.

    Args:
        group: name of the group.

    Examples:
        >>> zone_of_group("north/flags/0")
        'north'
    """
    return group.partition(GROUP_SEPARATOR)[0]
