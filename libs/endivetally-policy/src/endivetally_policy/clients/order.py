"""Order in which connections are closed when a server has too many."""

from collections.abc import Hashable
from typing import Generic
from typing import TypeVar

Key = TypeVar('Key', bound=Hashable)


class EvictionOrder(Generic[Key]):
    """Connections without a request that is being handled.

    Those on which no request was ever complete are evicted first, then those whose
    last response is the oldest. A connection that a caller keeps open between two
    requests outlasts one that never sent any.
    """

    def __init__(self) -> None:
        self._unused: dict[Key, None] = {}
        self._used: dict[Key, None] = {}

    def add_new(self, key: Key) -> None:
        """Add a connection that was opened."""
        self._unused[key] = None

    def add_used(self, key: Key) -> None:
        """Add a connection whose response was sent."""
        self._used[key] = None

    def remove(self, key: Key) -> None:
        """Remove a connection that is closed or whose request is being handled."""
        self._unused.pop(key, None)
        self._used.pop(key, None)

    def find_next(self) -> Key | None:
        """Return the connection to close first, or ``None`` if there is none."""
        return next(iter(self._unused or self._used), None)
