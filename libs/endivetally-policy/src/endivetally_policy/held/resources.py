"""Processors and memory of a target, and their reservation by its runs."""

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
        """Return whether this amount is enough for a need of both resources.

        >>> Resources(2000, 512).covers(Resources(1600, 1024))
        False
        """
        return need.cpu <= self.cpu and need.memory_mb <= self.memory_mb


NO_RESOURCES = Resources(0, 0)


class ResourceReservations:
    """Capacity of one target and its reservations by runs.

    A run reserves its resources before the command to start it is sent. They are
    released only when the target has reported the end of the run or can no
    longer carry out the command.

    :param capacity: all resources of the target, until it changes.
    """

    def __init__(self, capacity: Resources) -> None:
        self.capacity = capacity
        self.free = capacity
        self._reserved: dict[Hashable, Resources] = {}

    def reserve(self, holder: Hashable, need: Resources) -> bool:
        """Reserve resources for a holder; return whether they were free.

        Returns ``False`` as well when the holder has a reservation already.

        >>> node = ResourceReservations(Resources(2000, 512))
        >>> task = Resources(1600, 64)
        >>> node.reserve('a', task), node.reserve('b', task)
        (True, False)
        """
        if holder in self._reserved or not self.free.covers(need):
            return False
        self._reserved[holder] = need
        self.free = self.free.minus(need)
        return True

    def resize(self, capacity: Resources) -> None:
        """Change the capacity; less than nothing is free if more is reserved.

        >>> node = ResourceReservations(Resources(2000, 512))
        >>> node.reserve('a', Resources(1600, 64))
        True
        >>> node.resize(Resources(1000, 512))
        >>> node.free.cpu
        -600
        """
        self.free = self.free.plus(capacity.minus(self.capacity))
        self.capacity = capacity

    def release(self, holder: Hashable) -> None:
        """Release the resources of a holder; does nothing if it has none."""
        need = self._reserved.pop(holder, None)
        if need is not None:
            self.free = self.free.plus(need)
