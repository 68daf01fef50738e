"""Server of an agent that accepts the connections of entries."""

import asyncio
import socket
from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from typing import Final

from endivetally_core.clock import PauseDetector
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.listener import Listener
from endivetally_http import ClientUsage
from endivetally_http import Refusal
from endivetally_policy.clients import IncompleteRequests
from tornado.netutil import bind_sockets

from endivetally_held.channel import Channel
from endivetally_held.channel import ChannelHandler
from endivetally_held.messages import AgentHello
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import EntryHello

# Name of the server in logs and metrics.
SERVER_NAME: Final = 'entries'


@dataclass(slots=True, eq=False)
class EntryPeer:
    """A connected entry.

    :param handled_sequence: sequence of the newest start request that was handled.
    :param state_outdated: whether the target has changed since the last state that
        was sent to the entry.
    """

    incarnation: str
    channel: Channel
    handled_sequence: int = 0
    state_outdated: bool = True


class EntryListener(ABC):
    """Receives the events of the connections to entries."""

    @abstractmethod
    def entry_connected(self, peer: EntryPeer) -> None:
        """Handle a new connection."""

    @abstractmethod
    def message_received(self, peer: EntryPeer, message: AnyHeldMessage) -> None:
        """Handle a message of an entry."""

    @abstractmethod
    def entry_disconnected(self, peer: EntryPeer) -> None:
        """Handle the end of a connection, after which its runs can't be reported."""


class EntryServer(ChannelHandler):
    """Accepts entries and keeps one connection to each.

    Whoever connects can't take more than its share of the process: connections without
    a first message are closed for new ones, and those with the largest incomplete
    messages when all of these take too much memory.

    :param hello: first message to each entry.
    :param usage: what the clients of the process hold together.
    """

    def __init__(
        self,
        hello: AgentHello,
        listener: EntryListener,
        events: EventLog,
        clock: Callable[[], float],
        usage: ClientUsage,
    ) -> None:
        self._hello = hello
        self._listener = listener
        self._events = events
        self._clock = clock
        self._pause_detector = PauseDetector(clock=clock)
        self._usage = usage
        self._accepting = Listener(self._accept, self._report_failure)
        self._incomplete: IncompleteRequests[Channel] = IncompleteRequests(
            usage.limits.max_incomplete_bytes
        )
        # Connections that have no channel yet.
        self._opening: set[asyncio.Task[Any]] = set()
        # Peers by their channel; ``None`` until the first message has arrived.
        self._channels: dict[Channel, EntryPeer | None] = {}
        self._peers: dict[str, EntryPeer] = {}

    def __len__(self) -> int:
        """Return the number of connected entries."""
        return len(self._peers)

    def __iter__(self) -> Iterator[EntryPeer]:
        """Iterate over a copy of the connected entries."""
        return iter(tuple(self._peers.values()))

    @property
    def ports(self) -> list[int]:
        """Ports on which connections are accepted."""
        return self._accepting.ports

    async def listen(self, port: int, host: str) -> None:
        """Start to accept connections."""
        for listening in bind_sockets(port, host):
            self._accepting.add(listening)

    def create_channel(self) -> Channel:
        """Return the channel of a new connection."""
        return Channel(self, self._clock, rejects_late=True)

    def find_entry(self, incarnation: str) -> EntryPeer | None:
        """Return the connected entry with this incarnation, if there is one."""
        return self._peers.get(incarnation)

    def measure_silence(self, incarnation: str) -> float:
        """Return the seconds since the last message of an entry; 0 if not connected."""
        peer = self._peers.get(incarnation)
        return 0 if peer is None else peer.channel.silent_s

    def disconnect_silent(self) -> None:
        """Close the connections on which nothing was received for too long."""
        self._check_pause()
        for channel in list(self._channels):
            if channel.timed_out:
                channel.close('silent')

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the entries that were sent nothing recently."""
        for peer in self:
            peer.channel.send_heartbeat()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._accepting.close()
        for opening in self._opening:
            opening.cancel()
        self._close_channels('closing')

    def channel_opened(self, channel: Channel) -> None:
        """Identify this agent to whoever has connected."""
        self._channels[channel] = None
        channel.post(self._hello)

    def batch_received(self, channel: Channel, batch: list[AnyHeldMessage]) -> None:
        """Handle the messages of an entry."""
        peer = self._channels[channel]
        if peer is None:
            peer = self._add_entry(batch, channel)
            batch = batch[1:]
        self._check_pause()
        for message in batch:
            if channel.closed:
                raise LinkClosed('paused')
            self._listener.message_received(peer, message)

    def batch_incomplete(self, channel: Channel, size: int) -> None:
        """Close the channels that take the most memory when all take too much."""
        self._incomplete.remove(channel)
        if size:
            self._incomplete.add(channel, size, self._clock())
        for victim in self._incomplete.select_victims(self._clock()):
            self._record(Refusal.NO_MEMORY, size=self._incomplete.size(victim))
            victim.close('too much incomplete data')

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """Forget an entry that is no longer connected."""
        self._incomplete.remove(channel)
        peer = self._channels.pop(channel, None)
        if peer is None:
            return
        if self._peers.get(peer.incarnation) is peer:
            del self._peers[peer.incarnation]
        self._events.emit(
            Event.ENTRY_LOST,
            entry=peer.incarnation,
            reason=reason,
            heard_ms_ago=int((self._clock() - channel.last_received_at) * 1000),
        )
        self._listener.entry_disconnected(peer)

    def _accept(self, connection: socket.socket, address: tuple[Any, ...]) -> None:
        count = len(self._channels) + len(self._opening)
        if count >= self._usage.limits.max_peers:
            self._record(Refusal.TOO_MANY_CONNECTIONS, address=address[0])
            if not self._close_unknown():
                connection.close()
                return
        loop = asyncio.get_running_loop()
        opening = loop.create_task(
            loop.connect_accepted_socket(self.create_channel, connection)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    def _close_unknown(self) -> bool:
        """Close the oldest connection without a first message, if there is one."""
        for channel, peer in self._channels.items():
            if peer is None:
                channel.close('too many connections')
                return True
        return False

    def _report_failure(self) -> None:
        self._record(Refusal.ACCEPT_FAILED)
        self._close_unknown()

    def _record(self, refusal: Refusal, address: str = '', size: int = 0) -> None:
        log = self._usage.refusal_log
        log.record(SERVER_NAME, refusal, address, size, len(self._channels))

    def _add_entry(self, batch: list[AnyHeldMessage], channel: Channel) -> EntryPeer:
        hello = batch[0] if batch else None
        if not isinstance(hello, EntryHello):
            raise MalformedMessage('the first message is not an EntryHello')
        former = self._peers.get(hello.entry)
        if former is not None:
            former.channel.close('linked again')
        peer = EntryPeer(hello.entry, channel)
        self._channels[channel] = peer
        self._peers[hello.entry] = peer
        self._events.emit(
            Event.ENTRY_LINKED, entry=hello.entry, entries=len(self._peers)
        )
        self._listener.entry_connected(peer)
        return peer

    def _check_pause(self) -> None:
        paused_s = self._pause_detector.measure_pause()
        if not paused_s:
            return
        self._events.emit(Event.PROCESS_PAUSED, paused_ms=int(paused_s * 1000))
        # Entries may have given up the requests that arrived during the pause.
        self._close_channels('paused')

    def _close_channels(self, reason: str) -> None:
        for channel in list(self._channels):
            channel.close(reason)
