"""Heartbeats to a few entries, and the silence of entries.

An agent has links to all entries but heartbeats only those that watch it, so
that the cost of control does not grow with the number of entries. Some of the
heartbeats ask for an answer. Another entry is probed when it holds credits that
it does not use while its tasks wait.
"""

import logging
import time
from collections.abc import Callable
from typing import Final

import msgspec
from endivetally_core.identifiers import select_watchers
from endivetally_core.wire import WatchRequest

from endivetally_agent.registry import LinkRegistry
from endivetally_agent.tasks import TaskManager

logger: Final = logging.getLogger(__name__)

BEATS_PER_PROBE: Final = 3
PROBE_AFTER_S: Final = 2
ENTRY_SILENCE_S: Final = 4
FROZEN_GAP_S: Final = 2.5
ANSWERED: Final = frozenset((WatchRequest.START_AND_PROBE, WatchRequest.PROBE))


class Watchers:
    """The entries that watch one agent.

    :param name: name of the agent.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        name: str,
        links: LinkRegistry,
        tasks: TaskManager,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._name = name
        self._links = links
        self._tasks = tasks
        self._clock = clock
        self._watchers: frozenset[str] = frozenset()
        self._probed_at: dict[str, float] = {}
        self._beats = 0
        self._last_beat = clock()

    def greet(self, entry: str) -> None:
        """Send the state over a new link, as a heartbeat if its entry watches."""
        self._choose()
        watched = entry in self._watchers
        self._send(
            entry, WatchRequest.START_AND_PROBE if watched else WatchRequest.NONE
        )

    def beat(self) -> None:
        """Send heartbeats and close the links of silent entries."""
        now = self._clock()
        if now - self._last_beat > FROZEN_GAP_S:
            # This process was stopped; it has heard nobody.
            self._probed_at.clear()
        self._last_beat = now
        self._choose()
        probing = self._beats % BEATS_PER_PROBE == 0
        self._beats += 1
        for entry in self._watchers:
            self._send(
                entry, WatchRequest.START_AND_PROBE if probing else WatchRequest.START
            )
        self._probe_holders(now)
        self._close_silent(now)

    def _choose(self) -> None:
        chosen = frozenset(select_watchers(self._name, self._links.entries))
        for former in self._watchers - chosen:
            self._send(former, WatchRequest.STOP)
        self._watchers = chosen

    def _send(self, entry: str, watch: WatchRequest) -> None:
        state = msgspec.structs.replace(self._tasks.state, watch=watch)
        if self._links.post(entry, state) and watch in ANSWERED:
            self._probed_at.setdefault(entry, self._clock())

    def _probe_holders(self, now: float) -> None:
        for entry in self._tasks.ledger.holders_in_need:
            unheard_s = now - self._links.heard_at(entry)
            if entry not in self._watchers and unheard_s > PROBE_AFTER_S:
                self._send(entry, WatchRequest.PROBE)

    def _close_silent(self, now: float) -> None:
        for entry, probed_at in list(self._probed_at.items()):
            if entry not in self._links or self._links.heard_at(entry) > probed_at:
                self._probed_at.pop(entry)
            elif now - probed_at > ENTRY_SILENCE_S:
                self._probed_at.pop(entry)
                logger.warning('entry silent', extra={'entry': entry})
                self._links.close(entry)
