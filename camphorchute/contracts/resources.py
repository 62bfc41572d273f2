"""What a task needs of a worker, and what a worker has to give."""

import msgspec

__all__ = ["Resources"]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of processor time, memory and accelerators.

    Attributes:
        cpu_millicores: thousandths of a core.
        memory_mb: memory in MB.
        gpus: number of accelerators.

    Examples:
        >>> room = Resources(32_000, 65_536)
        >>> room.holds(Resources(14_000, 64))
        True
        >>> room.minus(Resources(14_000, 64)).cpu_millicores
        18000
    """

    cpu_millicores: int
    memory_mb: int = 0
    gpus: int = 0

    def holds(self, other: "Resources") -> bool:
        """Whether the other amount fits into this one."""
        return (
            other.cpu_millicores <= self.cpu_millicores
            and other.memory_mb <= self.memory_mb
            and other.gpus <= self.gpus
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return what is left of this amount; negative where it is overcommitted."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def copies_of(self, demand: "Resources") -> int:
        """Return how many tasks of a demand fit at once.

        Examples:
            >>> Resources(32_000, 65_536).copies_of(Resources(14_000, 64))
            2
        """
        pairs = zip(
            (self.cpu_millicores, self.memory_mb, self.gpus),
            (demand.cpu_millicores, demand.memory_mb, demand.gpus),
            strict=True,
        )
        return max(0, min((have // need for have, need in pairs if need > 0), default=0))
