"""Dispatches that wait at the agent for a slot of its target."""

import bisect
import time
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch

MAX_BORROWED: Final = 2
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class QueuedDispatch:
    """A dispatch that neither started nor was refused.

    :param entry: the entry that sent it.
    :param deadline_s: monotonic time of its deadline.
    """

    entry: str
    dispatch: Dispatch
    deadline_s: float


class DispatchQueue:
    """Waiting dispatches by priority, then by arrival.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._queued: list[QueuedDispatch] = []

    def __iter__(self) -> Iterator[QueuedDispatch]:
        """Iterate in order, with the time that is left in each dispatch."""
        now = self._clock()
        for queued in list(self._queued):
            left_ms = max(int((queued.deadline_s - now) * _MS_PER_S), 0)
            current = msgspec.structs.replace(queued.dispatch, deadline_ms=left_ms)
            yield QueuedDispatch(queued.entry, current, queued.deadline_s)

    def __contains__(self, name: AttemptId) -> bool:
        """Whether a binding waits here."""
        return any(queued.dispatch.attempt_id == name for queued in self._queued)

    @property
    def accepts_borrowed(self) -> bool:
        """Whether one more dispatch without a credit may wait."""
        borrowed = sum(queued.dispatch.borrowed for queued in self._queued)
        return borrowed < MAX_BORROWED

    def add(self, entry: str, dispatch: Dispatch) -> None:
        """Let a dispatch wait."""
        deadline_s = self._clock() + dispatch.deadline_ms / _MS_PER_S
        queued = QueuedDispatch(entry, dispatch, deadline_s)
        bisect.insort(self._queued, queued, key=_priority)

    def remove(self, name: AttemptId) -> None:
        """Forget a dispatch that is decided now."""
        self._queued = [
            queued for queued in self._queued if queued.dispatch.attempt_id != name
        ]


def _priority(queued: QueuedDispatch) -> int:
    return queued.dispatch.priority
