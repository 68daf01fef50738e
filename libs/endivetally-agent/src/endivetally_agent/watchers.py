"""Heartbeats to a few entries, and the silence of entries.

An agent has links to all entries but heartbeats only those that watch it, so
that the cost of control does not grow with the number of entries. Another
entry is probed when it holds credits that it does not use while tasks wait.
"""

import logging
import time
from collections.abc import Callable
from typing import Final

import msgspec
from endivetally_core.identifiers import rank_by_rendezvous
from endivetally_core.wire import Watch

from endivetally_agent.registry import LinkRegistry
from endivetally_agent.tasks import TaskManager

logger: Final = logging.getLogger(__name__)

WATCHERS: Final = 3
PROBE_AFTER_S: Final = 2
ENTRY_SILENCE_S: Final = 4
FROZEN_GAP_S: Final = 2.5
ANSWERED: Final = frozenset((Watch.ON, Watch.PROBE))


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
        self._expected: dict[str, float] = {}
        self._last_beat = clock()

    def greet(self, entry: str) -> None:
        """Send the state over a new link, as a heartbeat if its entry watches."""
        self._choose()
        self._send(entry, Watch.ON if entry in self._watchers else Watch.UNCHANGED)

    def beat(self) -> None:
        """Send heartbeats and close the links of silent entries."""
        now = self._clock()
        if now - self._last_beat > FROZEN_GAP_S:
            # This process was stopped; it has heard nobody.
            self._expected = dict.fromkeys(self._expected, now)
        self._last_beat = now
        self._choose()
        for entry in self._watchers:
            self._send(entry, Watch.ON)
        self._probe_holders(now)
        self._close_silent(now)

    def _choose(self) -> None:
        ranked = rank_by_rendezvous(self._name, self._links.entries)
        chosen = frozenset(ranked[:WATCHERS])
        for former in self._watchers - chosen:
            self._send(former, Watch.OFF)
            self._expected.pop(former, None)
        self._watchers = chosen

    def _send(self, entry: str, watch: Watch) -> None:
        state = msgspec.structs.replace(self._tasks.state, watch=watch)
        if self._links.post(entry, state) and watch in ANSWERED:
            self._expected.setdefault(entry, self._clock())

    def _probe_holders(self, now: float) -> None:
        for entry in self._tasks.ledger.holders_in_need:
            unheard_s = now - self._links.heard_at(entry)
            if entry not in self._expected and unheard_s > PROBE_AFTER_S:
                self._send(entry, Watch.PROBE)

    def _close_silent(self, now: float) -> None:
        for entry, since in list(self._expected.items()):
            heard_at = self._links.heard_at(entry)
            if self._is_settled(entry, heard_at > since):
                self._expected.pop(entry)
            elif now - max(heard_at, since) > ENTRY_SILENCE_S:
                self._expected.pop(entry)
                logger.warning('entry silent', extra={'entry': entry})
                self._links.close(entry)

    def _is_settled(self, entry: str, answered: bool) -> bool:
        if entry not in self._links:
            return True
        return answered and entry not in self._watchers
