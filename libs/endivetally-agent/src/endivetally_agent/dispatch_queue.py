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
class WaitingStart:
    """A dispatch that neither started nor was refused.

    :param entry: the entry that sent it.
    :param deadline_s: monotonic time of its deadline.
    """

    entry: str
    dispatch: Dispatch
    deadline_s: float


class WaitingStarts:
    """Waiting dispatches by priority, then by arrival.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._starts: list[WaitingStart] = []

    def __iter__(self) -> Iterator[WaitingStart]:
        """Iterate in order, with the time that is left in each dispatch."""
        now = self._clock()
        for start in list(self._starts):
            left_ms = max(int((start.deadline_s - now) * _MS_PER_S), 0)
            current = msgspec.structs.replace(start.dispatch, deadline_ms=left_ms)
            yield WaitingStart(start.entry, current, start.deadline_s)

    def __contains__(self, name: AttemptId) -> bool:
        """Whether a binding waits here."""
        return any(start.dispatch.attempt_id == name for start in self._starts)

    @property
    def takes_borrowed(self) -> bool:
        """Whether one more dispatch without a credit may wait."""
        borrowed = sum(start.dispatch.borrowed for start in self._starts)
        return borrowed < MAX_BORROWED

    def add(self, entry: str, dispatch: Dispatch) -> None:
        """Let a dispatch wait."""
        deadline_s = self._clock() + dispatch.deadline_ms / _MS_PER_S
        start = WaitingStart(entry, dispatch, deadline_s)
        bisect.insort(self._starts, start, key=_priority)

    def remove(self, name: AttemptId) -> None:
        """Forget a dispatch that is decided now."""
        self._starts = [
            start for start in self._starts if start.dispatch.attempt_id != name
        ]


def _priority(start: WaitingStart) -> int:
    return start.dispatch.priority
