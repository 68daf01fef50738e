"""Queue of dispatches that wait at the agent for a free slot of its target."""

import bisect
import time
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch

# Number of dispatches without a credit that may wait at once.
MAX_BORROWED: Final = 2
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class QueuedDispatch:
    """A dispatch that has been neither started nor refused yet.

    :param entry: the entry that sent it.
    :param deadline: monotonic time of its deadline.
    """

    entry: str
    dispatch: Dispatch
    deadline: float


class DispatchQueue:
    """Waiting dispatches, ordered by priority, then by arrival.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._queued: list[QueuedDispatch] = []

    def __iter__(self) -> Iterator[QueuedDispatch]:
        """Iterate in order, with ``deadline_ms`` set to the time that is left."""
        now = self._clock()
        for queued in list(self._queued):
            remaining_ms = max(int((queued.deadline - now) * _MS_PER_S), 0)
            current = msgspec.structs.replace(queued.dispatch, deadline_ms=remaining_ms)
            yield QueuedDispatch(queued.entry, current, queued.deadline)

    def __contains__(self, attempt_id: AttemptId) -> bool:
        """Whether a dispatch of this attempt is queued."""
        return any(queued.dispatch.attempt_id == attempt_id for queued in self._queued)

    @property
    def accepts_borrowed(self) -> bool:
        """Whether one more dispatch without a credit may be queued."""
        borrowed = sum(queued.dispatch.borrowed for queued in self._queued)
        return borrowed < MAX_BORROWED

    def add(self, entry: str, dispatch: Dispatch) -> None:
        """Queue a dispatch.

        :param entry: the entry that sent it.
        """
        deadline = self._clock() + dispatch.deadline_ms / _MS_PER_S
        queued = QueuedDispatch(entry, dispatch, deadline)
        bisect.insort(self._queued, queued, key=_priority)

    def remove(self, attempt_id: AttemptId) -> None:
        """Remove a dispatch that is about to be decided."""
        self._queued = [
            queued
            for queued in self._queued
            if queued.dispatch.attempt_id != attempt_id
        ]


def _priority(queued: QueuedDispatch) -> int:
    return queued.dispatch.priority
