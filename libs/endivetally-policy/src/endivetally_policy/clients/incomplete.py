"""Requests that have not arrived completely, and the memory that they take."""

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final
from typing import Generic
from typing import TypeVar

# A request must be complete after this time, and the time that its bytes take at the
# rate below: a tenth of the slowest link of a machine.
ARRIVAL_S: Final = 20.0
MIN_BYTES_PER_S: Final = 25_000
# Part of the limit to which requests are evicted, so that a full budget does not
# require a decision for each read.
LOW_WATER_PART: Final = 7 / 8

Key = TypeVar('Key', bound=Hashable)


@dataclass(slots=True)
class _Request:
    """Bytes of a request so far.

    :param began_at: monotonic time of the first byte in seconds.
    """

    began_at: float
    size: int = 0

    def is_overdue(self, now: float) -> bool:
        """Return whether the request arrives too slowly."""
        return now - self.began_at > ARRIVAL_S + self.size / MIN_BYTES_PER_S

    def occupancy(self, now: float) -> float:
        """Return the bytes multiplied by the seconds since the first one."""
        return self.size * (now - self.began_at)


class IncompleteRequests(Generic[Key]):
    """Bounds the bytes of all incomplete requests of a process.

    Above the limit those requests are evicted first that have held the most memory for
    the longest time. A sound request arrives within milliseconds, or is small.

    :param max_bytes: limit for all requests together.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._requests: dict[Key, _Request] = {}

    def __len__(self) -> int:
        """Return the number of incomplete requests."""
        return len(self._requests)

    def __contains__(self, key: Key) -> bool:
        """Return whether bytes of a request have arrived, but not all."""
        return key in self._requests

    @property
    def total_bytes(self) -> int:
        """Bytes of all incomplete requests."""
        return self._total_bytes

    @property
    def is_full(self) -> bool:
        """Whether requests have to be evicted."""
        return self._total_bytes > self._max_bytes

    def add(self, key: Key, size: int, now: float) -> None:
        """Count bytes of a request.

        :param key: identifies the request; a new one begins with its first byte.
        """
        request = self._requests.get(key)
        if request is None:
            request = _Request(now)
            self._requests[key] = request
        request.size += size
        self._total_bytes += size

    def size(self, key: Key) -> int:
        """Return the bytes of a request so far."""
        request = self._requests.get(key)
        return 0 if request is None else request.size

    def remove(self, key: Key) -> None:
        """Forget a request that is complete or was given up."""
        self._total_bytes -= self.size(key)
        self._requests.pop(key, None)

    def find_overdue(self, now: float) -> list[Key]:
        """Return the requests that arrive too slowly."""
        return [key for key, each in self._requests.items() if each.is_overdue(now)]

    def select_victims(self, now: float) -> list[Key]:
        """Return the requests to evict so that the others keep below the limit."""
        if not self.is_full:
            return []
        excess = self._total_bytes - int(self._max_bytes * LOW_WATER_PART)
        ranked = sorted(
            self._requests,
            key=lambda key: self._requests[key].occupancy(now),
            reverse=True,
        )
        victims = []
        for key in ranked:
            if excess <= 0:
                break
            victims.append(key)
            excess -= self._requests[key].size
        return victims
