"""What the machine allows this process, for defaults of its limits."""

import os
import resource

__all__ = ["descriptors_max", "machine_memory_bytes"]


def descriptors_max() -> int:
    """Return how many descriptors this process may have open.

    Examples:
        >>> descriptors_max() > 16
        True
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return limit if limit != resource.RLIM_INFINITY else 2**20


def machine_memory_bytes() -> int:
    """Return the memory of the machine in bytes, as the operating system reports it.

    Examples:
        >>> machine_memory_bytes() > 2**20
        True
    """
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
