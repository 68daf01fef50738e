"""Sends the state of a target to the entries that are connected to its agent."""

import asyncio
from collections.abc import Callable

from endivetally_held.entry_server import EntryPeer
from endivetally_held.entry_server import EntryServer
from endivetally_held.messages import RunEnded
from endivetally_held.messages import TargetState


class StateReporter:
    """Decides when each entry gets the state of the target.

    An entry whose run has ended gets it at once, in the same batch. The others get it
    with the next tick of the agent, or at once when the availability has changed.

    :param build_state: returns the state to send to an entry.
    :param find_availability: returns the pool of the target, and whether it accepts
        runs.
    """

    def __init__(
        self,
        entry_server: EntryServer,
        build_state: Callable[[EntryPeer], TargetState],
        find_availability: Callable[[], tuple[str, bool]],
    ) -> None:
        self._entry_server = entry_server
        self._build_state = build_state
        self._find_availability = find_availability
        # Entries that get the state in the next event loop iteration.
        self._receivers: set[EntryPeer] = set()
        self._announced_availability = ('', False)

    def mark_changed(self) -> None:
        """Record that the state has changed for all entries."""
        for peer in self._entry_server:
            peer.state_outdated = True
        self._announce_availability()

    def send_state(self, peer: EntryPeer) -> None:
        """Send the state to an entry."""
        peer.state_outdated = False
        peer.channel.post(self._build_state(peer))

    def report_end(self, entry: str, ended: RunEnded) -> None:
        """Send the end of a run, and the state after it, in one batch.

        :param entry: incarnation of the entry; it may be disconnected.
        """
        peer = self._entry_server.find_entry(entry)
        if peer is not None:
            # Scheduled before the flush of the channel, so that they share a batch.
            self._send_soon(peer)
            peer.channel.post(ended)

    def send_outdated_states(self) -> None:
        """Send the state to all entries that have an outdated one."""
        self._announce_availability()
        for peer in self._entry_server:
            if peer.state_outdated:
                self.send_state(peer)

    def _announce_availability(self) -> None:
        # The availability may also change with time, without another change.
        availability = self._find_availability()
        if availability == self._announced_availability:
            return
        self._announced_availability = availability
        for peer in self._entry_server:
            self._send_soon(peer)

    def _send_soon(self, peer: EntryPeer) -> None:
        if not self._receivers:
            asyncio.get_running_loop().call_soon(self._send_to_receivers)
        self._receivers.add(peer)

    def _send_to_receivers(self) -> None:
        receivers = self._receivers
        self._receivers = set()
        for peer in receivers:
            self.send_state(peer)
