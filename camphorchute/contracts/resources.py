"""Resources that a task needs or that a worker provides."""

import msgspec

__all__ = ["Resources"]


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of processor time, memory and accelerators.

    Attributes:
        cpu_millicores: thousandths of a core.
        memory_mb: memory in MB.
        gpus: number of accelerators.

    Examples:
        >>> capacity = Resources(32_000, 65_536)
        >>> capacity.can_hold(Resources(14_000, 64))
        True
        >>> capacity.minus(Resources(14_000, 64)).cpu_millicores
        18000
    """

    cpu_millicores: int
    memory_mb: int = 0
    gpus: int = 0

    def can_hold(self, other: "Resources") -> bool:
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

    def times(self, count: int) -> "Resources":
        """Return the amount that a number of tasks with this demand needs."""
        return Resources(self.cpu_millicores * count, self.memory_mb * count, self.gpus * count)

    def minus(self, other: "Resources") -> "Resources":
        """Return this amount less the other; negative where the other one is larger."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def remaining_after(self, used: "Resources") -> "Resources":
        """Return what remains of this amount after use, nothing of what is used up.

        Examples:
            >>> Resources(14_000, 512).remaining_after(Resources(28_000, 128))
            Resources(cpu_millicores=0, memory_mb=384, gpus=0)
        """
        return Resources(
            max(0, self.cpu_millicores - used.cpu_millicores),
            max(0, self.memory_mb - used.memory_mb),
            max(0, self.gpus - used.gpus),
        )

    def largest_with(self, other: "Resources") -> "Resources":
        """Return the larger of both amounts, for each resource by itself."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.gpus, other.gpus),
        )

    def count_fitting(self, demand: "Resources") -> int:
        """Return how many tasks with a demand fit into this amount at the same time.

        The result is 0 if the demand is empty.

        Examples:
            >>> Resources(32_000, 65_536).count_fitting(Resources(14_000, 64))
            2
        """
        amounts = zip(
            (self.cpu_millicores, self.memory_mb, self.gpus),
            (demand.cpu_millicores, demand.memory_mb, demand.gpus),
            strict=True,
        )
        return max(
            0, min((available // needed for available, needed in amounts if needed > 0), default=0)
        )
