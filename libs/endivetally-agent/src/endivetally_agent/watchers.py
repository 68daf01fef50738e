"""Sends heartbeats to a few entries and detects entries that stop responding.

An agent is linked to all entries but sends heartbeats only to those that watch it,
so that the cost of heartbeats does not grow with the number of entries. Every
``HEARTBEATS_PER_PROBE``-th heartbeat asks for a response. Any other entry is probed
when it holds unused credits while its tasks wait.
"""

import logging
import time
from collections.abc import Callable
from typing import Final

import msgspec
from endivetally_core.identifiers import select_watchers
from endivetally_core.wire import WatchRequest

from endivetally_agent.link_registry import LinkRegistry
from endivetally_agent.task_manager import TaskManager

logger: Final = logging.getLogger(__name__)

HEARTBEATS_PER_PROBE: Final = 3
PROBE_AFTER_SILENCE_S: Final = 2
PROBE_TIMEOUT_S: Final = 4
# A longer gap between heartbeats means that this process was paused.
PAUSE_THRESHOLD_S: Final = 2.5
PROBE_REQUESTS: Final = frozenset((WatchRequest.START_AND_PROBE, WatchRequest.PROBE))


class HeartbeatManager:
    """Heartbeats and probes of one agent.

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
        self._heartbeat_count = 0
        self._last_heartbeat_at = clock()

    def send_initial_state(self, entry: str) -> None:
        """Send the state over a new link, as a heartbeat if its entry is a watcher."""
        self._update_watchers()
        watched = entry in self._watchers
        self._send_state(
            entry, WatchRequest.START_AND_PROBE if watched else WatchRequest.NONE
        )

    def send_heartbeats(self) -> None:
        """Send heartbeats and probes, and close links whose probe timed out."""
        now = self._clock()
        if now - self._last_heartbeat_at > PAUSE_THRESHOLD_S:
            # This process was paused, so it could not receive any response.
            self._probed_at.clear()
        self._last_heartbeat_at = now
        self._update_watchers()
        is_probe = self._heartbeat_count % HEARTBEATS_PER_PROBE == 0
        self._heartbeat_count += 1
        for entry in self._watchers:
            self._send_state(
                entry, WatchRequest.START_AND_PROBE if is_probe else WatchRequest.START
            )
        self._probe_starved_entries(now)
        self._close_silent_links(now)

    def _update_watchers(self) -> None:
        selected = frozenset(select_watchers(self._name, self._links.entries))
        for former in self._watchers - selected:
            self._send_state(former, WatchRequest.STOP)
        self._watchers = selected

    def _send_state(self, entry: str, watch: WatchRequest) -> None:
        state = msgspec.structs.replace(self._tasks.state, watch=watch)
        if self._links.send(entry, state) and watch in PROBE_REQUESTS:
            self._probed_at.setdefault(entry, self._clock())

    def _probe_starved_entries(self, now: float) -> None:
        for entry in self._tasks.allocator.entries_with_starved_tasks:
            silence_s = now - self._links.last_received_at(entry)
            if entry not in self._watchers and silence_s > PROBE_AFTER_SILENCE_S:
                self._send_state(entry, WatchRequest.PROBE)

    def _close_silent_links(self, now: float) -> None:
        for entry, probed_at in list(self._probed_at.items()):
            if (
                entry not in self._links
                or self._links.last_received_at(entry) > probed_at
            ):
                self._probed_at.pop(entry)
            elif now - probed_at > PROBE_TIMEOUT_S:
                self._probed_at.pop(entry)
                logger.warning(
                    'entry did not respond to a probe', extra={'entry': entry}
                )
                self._links.close(entry)
