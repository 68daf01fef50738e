"""An agent's links to entries: greetings, silence, states."""

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
    """One linked entry.

    :param handled: sequence of its newest orders that were taken in.
    """

    incarnation: str
    channel: Channel
    handled: int = 0


class PeerListener(ABC):
    """Told what entries say."""

    @abstractmethod
    def peer_joined(self, peer: EntryPeer) -> None:
        """Take in a new link."""

    @abstractmethod
    def peer_said(self, peer: EntryPeer, message: AnyHeldMessage) -> None:
        """Take in a message."""

    @abstractmethod
    def peer_lost(self, peer: EntryPeer) -> None:
        """Take in the end of a link; nobody hears of its runs any more."""


class EntryServer(TCPServer):
    """Accepts entries and keeps one link to each.

    :param hello: first message to each entry.
    """

    def __init__(
        self,
        hello: AgentHello,
        listener: PeerListener,
        events: EventLog,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self._hello = hello
        self._listener = listener
        self._events = events
        self._clock = clock
        self._pauses = PauseDetector(clock=clock)
        self._peers: dict[str, EntryPeer] = {}

    def __len__(self) -> int:
        """Return the number of linked entries."""
        return len(self._peers)

    def __iter__(self) -> Iterator[EntryPeer]:
        """Iterate over a copy of the linked entries."""
        return iter(tuple(self._peers.values()))

    def find(self, incarnation: str) -> EntryPeer | None:
        """Return a linked entry."""
        return self._peers.get(incarnation)

    def lose_silent(self) -> None:
        """End the links that have been silent for too long."""
        self._check_pause()
        for peer in self:
            if peer.channel.silent:
                self._lose(peer, 'silent')

    def close(self) -> None:
        """Accept nobody, end all links."""
        self.stop()
        for peer in self:
            self._lose(peer, 'closing')

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one entry until its link ends."""
        channel = Channel(stream, self._clock)
        channel.post(self._hello)
        peer: EntryPeer | None = None
        reason = 'closed'
        try:
            peer = self._welcome(await channel.receive(), channel)
            while True:
                self._hand_over(peer, await channel.receive())
        except LinkClosed as error:
            reason = str(error)
        except MalformedMessage as error:
            reason = f'malformed: {error}'
        finally:
            channel.close()
            if peer is not None:
                self._lose(peer, reason)

    def _welcome(self, batch: list[AnyHeldMessage], channel: Channel) -> EntryPeer:
        hello = batch[0] if batch else None
        if not isinstance(hello, EntryHello):
            raise MalformedMessage('the first message is no greeting')
        former = self._peers.get(hello.entry)
        if former is not None:
            self._lose(former, 'linked again')
        peer = EntryPeer(hello.entry, channel)
        self._peers[hello.entry] = peer
        self._events.emit(
            Event.ENTRY_LINKED, entry=hello.entry, entries=len(self._peers)
        )
        self._listener.peer_joined(peer)
        self._hand_over(peer, batch[1:])
        return peer

    def _hand_over(self, peer: EntryPeer, batch: list[AnyHeldMessage]) -> None:
        self._check_pause()
        for message in batch:
            if peer.channel.closed:
                raise LinkClosed('paused')
            self._listener.peer_said(peer, message)

    def _check_pause(self) -> None:
        paused_s = self._pauses.measure_pause()
        if not paused_s:
            return
        self._events.emit(Event.PROCESS_PAUSED, paused_ms=int(paused_s * 1000))
        # What came in meanwhile may be older than anybody still expects.
        for peer in self:
            self._lose(peer, 'paused')

    def _lose(self, peer: EntryPeer, reason: str) -> None:
        peer.channel.close()
        if self._peers.get(peer.incarnation) is not peer:
            return
        del self._peers[peer.incarnation]
        self._events.emit(
            Event.ENTRY_LOST,
            entry=peer.incarnation,
            reason=reason,
            heard_ms_ago=int((self._clock() - peer.channel.heard_at) * 1000),
        )
        self._listener.peer_lost(peer)
