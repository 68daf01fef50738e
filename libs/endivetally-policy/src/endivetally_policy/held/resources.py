"""Processors and memory of a target, and what its runs take of them."""

from collections.abc import Hashable

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of processors and memory.

    :param cpu: thousandths of a core.
    :param memory_mb: megabytes.
    """

    cpu: int
    memory_mb: int

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of two amounts."""
        return Resources(self.cpu + other.cpu, self.memory_mb + other.memory_mb)

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference of two amounts; it may be negative."""
        return Resources(self.cpu - other.cpu, self.memory_mb - other.memory_mb)

    def covers(self, need: 'Resources') -> bool:
        """Return whether a need fits into this amount.

        >>> Resources(2000, 512).covers(Resources(1600, 1024))
        False
        """
        return need.cpu <= self.cpu and need.memory_mb <= self.memory_mb


NO_RESOURCES = Resources(0, 0)


class ResourceReservations:
    """Room of one target: its capacity less everything that may run on it.

    A run takes its room before the order to start it is sent, and gives it back
    only when the target has listed its end or can't carry the order out any more.

    :param capacity: all that the target has.
    """

    def __init__(self, capacity: Resources) -> None:
        self.capacity = capacity
        self.free = capacity
        self._taken: dict[Hashable, Resources] = {}

    def reserve(self, holder: Hashable, need: Resources) -> bool:
        """Reserve room if it is free.

        >>> node = ResourceReservations(Resources(2000, 512))
        >>> task = Resources(1600, 64)
        >>> node.reserve('a', task), node.reserve('b', task)
        (True, False)
        """
        if holder in self._taken or not self.free.covers(need):
            return False
        self._taken[holder] = need
        self.free = self.free.minus(need)
        return True

    def release(self, holder: Hashable) -> None:
        """Give reserved room back; does nothing for an unknown holder."""
        need = self._taken.pop(holder, None)
        if need is not None:
            self.free = self.free.plus(need)
