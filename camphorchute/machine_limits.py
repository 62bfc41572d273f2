"""What the machine allows this process, for defaults of its limits."""

import os

__all__ = ["machine_memory_bytes"]


def machine_memory_bytes() -> int:
    """Return the memory of the machine in bytes, as the operating system reports it.

    Examples:
        >>> machine_memory_bytes() > 2**20
        True
    """
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
