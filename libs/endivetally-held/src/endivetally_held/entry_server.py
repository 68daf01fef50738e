"""Server of an agent that accepts the connections of entries."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass

from endivetally_core.clock import PauseDetector
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from endivetally_held.channel import Channel
from endivetally_held.messages import AgentHello
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import EntryHello


@dataclass(slots=True, eq=False)
class EntryPeer:
    """A connected entry.

    :param handled_sequence: sequence of the newest start request that was handled.
    """

    incarnation: str
    channel: Channel
    handled_sequence: int = 0


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


class EntryServer(TCPServer):
    """Accepts entries and keeps one connection to each.

    :param hello: first message to each entry.
    """

    def __init__(
        self,
        hello: AgentHello,
        listener: EntryListener,
        events: EventLog,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self._hello = hello
        self._listener = listener
        self._events = events
        self._clock = clock
        self._pause_detector = PauseDetector(clock=clock)
        self._peers: dict[str, EntryPeer] = {}

    def __len__(self) -> int:
        """Return the number of connected entries."""
        return len(self._peers)

    def __iter__(self) -> Iterator[EntryPeer]:
        """Iterate over a copy of the connected entries."""
        return iter(tuple(self._peers.values()))

    def find_entry(self, incarnation: str) -> EntryPeer | None:
        """Return the connected entry with this incarnation, if there is one."""
        return self._peers.get(incarnation)

    def disconnect_silent(self) -> None:
        """Close the connections on which nothing was received for too long."""
        self._check_pause()
        for peer in self:
            if peer.channel.timed_out:
                self._disconnect(peer, 'silent')

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for peer in self:
            self._disconnect(peer, 'closing')

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one entry until its connection ends."""
        channel = Channel(stream, self._clock)
        channel.post(self._hello)
        peer: EntryPeer | None = None
        reason = 'closed'
        try:
            peer = self._add_entry(await channel.receive(), channel)
            while True:
                self._handle_messages(peer, await channel.receive())
        except LinkClosed as error:
            reason = str(error)
        except MalformedMessage as error:
            reason = f'malformed: {error}'
        finally:
            channel.close()
            if peer is not None:
                self._disconnect(peer, reason)

    def _add_entry(self, batch: list[AnyHeldMessage], channel: Channel) -> EntryPeer:
        hello = batch[0] if batch else None
        if not isinstance(hello, EntryHello):
            raise MalformedMessage('the first message is not an EntryHello')
        former = self._peers.get(hello.entry)
        if former is not None:
            self._disconnect(former, 'linked again')
        peer = EntryPeer(hello.entry, channel)
        self._peers[hello.entry] = peer
        self._events.emit(
            Event.ENTRY_LINKED, entry=hello.entry, entries=len(self._peers)
        )
        self._listener.entry_connected(peer)
        self._handle_messages(peer, batch[1:])
        return peer

    def _handle_messages(self, peer: EntryPeer, batch: list[AnyHeldMessage]) -> None:
        self._check_pause()
        for message in batch:
            if peer.channel.closed:
                raise LinkClosed('paused')
            self._listener.message_received(peer, message)

    def _check_pause(self) -> None:
        paused_s = self._pause_detector.measure_pause()
        if not paused_s:
            return
        self._events.emit(Event.PROCESS_PAUSED, paused_ms=int(paused_s * 1000))
        # Entries may have given up the requests that arrived during the pause.
        for peer in self:
            self._disconnect(peer, 'paused')

    def _disconnect(self, peer: EntryPeer, reason: str) -> None:
        peer.channel.close()
        if self._peers.get(peer.incarnation) is not peer:
            return
        del self._peers[peer.incarnation]
        self._events.emit(
            Event.ENTRY_LOST,
            entry=peer.incarnation,
            reason=reason,
            heard_ms_ago=int((self._clock() - peer.channel.last_received_at) * 1000),
        )
        self._listener.entry_disconnected(peer)
