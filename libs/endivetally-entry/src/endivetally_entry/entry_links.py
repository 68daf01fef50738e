"""Links to the other entries, and the takeover of entries that fall silent."""

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import TableUnavailable
from endivetally_core.identifiers import rank_by_rendezvous
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_core.joining import JoinRequest
from endivetally_core.joining import JoinResponse
from endivetally_core.links import dial
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import EntryState
from tornado.httpclient import AsyncHTTPClient

from endivetally_entry.exchange import MessageHandler

if TYPE_CHECKING:
    from endivetally_core.links import Link
    from endivetally_core.links import LinkListener

    from endivetally_entry.exchange import LinkTransport
    from endivetally_entry.forwarding import RequestForwarder

_log = logging.getLogger(__name__)

JOIN_TIMEOUT_S = 2
REDIAL_DELAY_S = 0.3
# An entry is suspected after this long without a frame on an open link.
SILENCE_TIMEOUT_S = 3
# An entry without any link is suspected this long after its last frame.
DISCONNECTED_TIMEOUT_S = 1.5
# Each successor waits this much longer than the one ranked before it.
TAKEOVER_STAGGER_S = 1
# Further delay of an entry that has lost contact with most agents, or with most
# other entries.
ISOLATED_DELAY_S = 15
MINORITY_DELAY_S = 5
# The agents are probed this long before a suspicion, to detect an isolation.
SUSPICION_LEAD_S = 1
# An entry without a frame for this long counts as lost when an entry determines
# whether it has lost most others, or all of them.
RECENT_FRAME_S = 1.5
# The same for an entry without any link. It last heard of this one up to a heartbeat
# earlier than this one of it, and may then suspect this one so much sooner.
RECENT_LINK_S = 0.5


@dataclass(slots=True)
class PeerEntry:
    """Another entry and the links to it.

    :param state: last reported state.
    :param last_received_at: time of its last frame, on the event loop's clock.
    :param dialling: whether a task of this process keeps a link to it open.
    :param pools: pools in which it has an open target, as last reported.
    """

    identity: EntryIdentity
    links: 'list[Link]' = field(default_factory=list)
    state: str = 'open'
    last_received_at: float = 0
    dialling: bool = False
    pools: frozenset[str] = frozenset()

    @property
    def link(self) -> 'Link | None':
        """The newest open link, or ``None`` while the entry is disconnected."""
        for link in reversed(self.links):
            if not link.closed:
                return link
        return None


class EntryLinks:
    """Opens and serves the links to the other entries.

    :param identity: identity of this entry.
    :param on_message: handles a message of another entry.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        transport: 'LinkTransport',
        on_message: 'Callable[[PeerEntry, AnyMessage], None]',
    ) -> None:
        self._identity = identity
        self._transport = transport
        self._on_message = on_message
        self._peers: dict[str, PeerEntry] = {}
        self._forwarder: RequestForwarder | None = None
        self._client = AsyncHTTPClient()
        self._dial_tasks: set[asyncio.Task[None]] = set()

    @property
    def peers(self) -> list[PeerEntry]:
        """The other entries, connected or not."""
        return list(self._peers.values())

    @property
    def connected_identities(self) -> list[EntryIdentity]:
        """Identities of this entry and of those that it has a link to."""
        linked = [peer.identity for peer in self.peers if peer.link]
        return [self._identity, *linked]

    @property
    def reported_pools(self) -> frozenset[str]:
        """Pools in which a connected entry has an open target."""
        return frozenset().union(*(peer.pools for peer in self.peers if peer.link))

    def set_forwarder(self, forwarder: 'RequestForwarder') -> None:
        """Set the forwarder whose requests fail when a peer's last link closes."""
        self._forwarder = forwarder

    def find_link(self, incarnation: str) -> 'Link | None':
        """Return the open link to an entry, if there is one."""
        peer = self._peers.get(incarnation)
        return peer.link if peer else None

    def broadcast(self, message: AnyMessage) -> None:
        """Send a message to every connected entry."""
        for peer in self._peers.values():
            if peer.link is not None:
                peer.link.post(message)

    def connect(self, identity: EntryIdentity) -> None:
        """Keep a link to an entry open, unless there is one already."""
        if identity.incarnation == self._identity.incarnation:
            return
        peer = self._add_peer(identity)
        if peer.dialling or peer.link is not None:
            return
        peer.dialling = True
        dialling = asyncio.create_task(self._keep_connected(peer))
        self._dial_tasks.add(dialling)
        dialling.add_done_callback(self._dial_tasks.discard)

    async def connect_to_seed(self, address: Address) -> None:
        """Join the entry at an address and connect to all entries that it knows.

        :raises LinkClosed: when no entry responds at the address.
        """
        joined = await self._join(address)
        for identity in (joined.entry, *joined.entries):
            self.connect(identity)

    def remove(self, incarnation: str) -> None:
        """Remove an entry that is fenced or has left, and close its links."""
        peer = self._peers.pop(incarnation, None)
        if peer is not None:
            self._close(peer)

    async def serve_link(
        self, identity: EntryIdentity, listener: 'LinkListener'
    ) -> None:
        """Serve a link that another entry opens, until it closes."""
        try:
            socket = await listener.accept()
        except LinkClosed:
            return
        peer = self._add_peer(identity)
        link = self._transport.open_link(
            socket,
            peer=identity.name,
            data_centre=identity.data_centre,
        )
        await self._receive_until_closed(peer, link)

    def find_suspects(self) -> list[PeerEntry]:
        """Return the entries that have been silent or disconnected for too long."""
        now = _now()
        return [peer for peer in self._peers.values() if _is_suspect(peer, now)]

    def has_imminent_suspects(self) -> bool:
        """Return whether an entry is suspected, or will be soon if it stays silent."""
        soon = _now() + SUSPICION_LEAD_S
        return any(_is_suspect(peer, soon) for peer in self._peers.values())

    def is_cut_off(self) -> bool:
        """Return whether none of the other entries has been heard recently.

        They may have taken over this entry without its noticing. An entry that knows
        no other is not cut off.
        """
        now = _now()
        return bool(self._peers) and all(
            _is_lost(peer, now) for peer in self._peers.values()
        )

    def disconnect(self, peer: PeerEntry) -> None:
        """Close the links to a suspect and fail the requests forwarded to it."""
        self._close(peer)
        if self._forwarder is not None:
            self._forwarder.fail_pending(peer.identity.incarnation)

    def reset_silence(self) -> None:
        """Restart every silence timeout, after this process was paused."""
        for peer in self._peers.values():
            peer.last_received_at = _now()

    def close(self) -> None:
        """Close every link and stop connecting."""
        for peer in self._peers.values():
            self._close(peer)
        for dialling in self._dial_tasks:
            dialling.cancel()

    def _add_peer(self, identity: EntryIdentity) -> PeerEntry:
        peer = self._peers.get(identity.incarnation)
        if peer is None:
            peer = PeerEntry(identity, last_received_at=_now())
            self._peers[identity.incarnation] = peer
        return peer

    async def _keep_connected(self, peer: PeerEntry) -> None:
        while peer.identity.incarnation in self._peers:
            try:
                await self._connect_once(peer)
            except LinkClosed:
                await asyncio.sleep(REDIAL_DELAY_S)

    async def _connect_once(self, peer: PeerEntry) -> None:
        joined = await self._join(peer.identity.address)
        if joined.entry.incarnation != peer.identity.incarnation:
            raise LinkClosed(peer.identity.incarnation)
        for identity in joined.entries:
            self.connect(identity)
        socket = await dial(joined.link)
        link = self._transport.open_link(
            socket,
            peer=peer.identity.name,
            data_centre=peer.identity.data_centre,
        )
        await self._receive_until_closed(peer, link)

    async def _join(self, address: Address) -> JoinResponse:
        body = msgspec.json.encode(JoinRequest(entry=self._identity))
        try:
            response = await self._client.fetch(
                f'http://{address}/internal/join',
                method='POST',
                body=body,
                request_timeout=JOIN_TIMEOUT_S,
            )
            return msgspec.json.decode(response.body, type=JoinResponse)
        except Exception as error:
            raise LinkClosed(str(address)) from error

    async def _receive_until_closed(self, peer: PeerEntry, link: 'Link') -> None:
        peer.links.append(link)
        peer.last_received_at = _now()
        link.post(EntryState('open'))
        handler = _PeerMessageHandler(peer, self._on_message)
        try:
            await self._transport.receive_all(link, handler)
        finally:
            link.close()
            peer.links.remove(link)
        if peer.link is None and self._forwarder is not None:
            self._forwarder.fail_pending(peer.identity.incarnation)

    def _close(self, peer: PeerEntry) -> None:
        for link in list(peer.links):
            link.close()


class _PeerMessageHandler(MessageHandler):
    """Handles the messages of one entry."""

    def __init__(
        self,
        peer: PeerEntry,
        on_message: 'Callable[[PeerEntry, AnyMessage], None]',
    ) -> None:
        self._peer = peer
        self._on_message = on_message

    def frame_received(self) -> None:
        """Restart the entry's silence timeout."""
        self._peer.last_received_at = _now()

    def handle_message(self, message: AnyMessage) -> None:
        """Store a reported state and pass the message on."""
        if isinstance(message, EntryState):
            self._peer.state = message.state
            self._peer.pools = frozenset(message.pools)
        self._on_message(self._peer, message)


class TakeoverController:
    """Takes over entries that are suspected to be dead.

    The live entries are ranked as successors of a suspect, and each waits longer
    than those before it. An entry that seems to be isolated from the others waits
    longest.

    :param take_over: fences an entry in the table and distributes its shards.
    :param is_isolated: returns whether this entry has lost most agents.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        links: EntryLinks,
        take_over: 'Callable[[EntryIdentity], Awaitable[None]]',
        is_isolated: 'Callable[[], bool]',
    ) -> None:
        self._identity = identity
        self._links = links
        self._take_over = take_over
        self._is_isolated = is_isolated
        self._suspected_at: dict[str, float] = {}

    async def check_suspects(self) -> None:
        """Disconnect suspects, and take over those whose delay has passed here."""
        suspects = self._links.find_suspects()
        incarnations = {peer.identity.incarnation for peer in suspects}
        self._suspected_at = {
            incarnation: suspected_at
            for incarnation, suspected_at in self._suspected_at.items()
            if incarnation in incarnations
        }
        for peer in suspects:
            self._links.disconnect(peer)
            suspected_at = self._suspected_at.setdefault(
                peer.identity.incarnation, _now()
            )
            if _now() >= suspected_at + self._delay_s(peer, incarnations):
                await self._take_over_peer(peer)

    def _delay_s(self, dead: PeerEntry, suspects: set[str]) -> float:
        live = [
            identity.incarnation
            for identity in self._links.connected_identities
            if identity.incarnation not in suspects
        ]
        ranked = rank_by_rendezvous(dead.identity.incarnation, live)
        rank = ranked.index(self._identity.incarnation)
        # In a network partition, the entries that still reach the targets go first.
        return rank * TAKEOVER_STAGGER_S + self._partition_delay_s()

    def _partition_delay_s(self) -> float:
        if self._is_isolated():
            return ISOLATED_DELAY_S
        recent = _now() - RECENT_FRAME_S
        peers = self._links.peers
        quiet = sum(entry.last_received_at < recent for entry in peers)
        lost_most = len(peers) > 1 and quiet * 2 > len(peers)
        return MINORITY_DELAY_S if lost_most else 0

    async def _take_over_peer(self, dead: PeerEntry) -> None:
        try:
            await self._take_over(dead.identity)
        except TableUnavailable:
            _log.warning('takeover postponed: the table service is unavailable')
            return
        self._links.remove(dead.identity.incarnation)


def _is_suspect(peer: PeerEntry, now: float) -> bool:
    silent_s = now - peer.last_received_at
    if peer.link is None:
        return silent_s > DISCONNECTED_TIMEOUT_S
    return silent_s > SILENCE_TIMEOUT_S


def _is_lost(peer: PeerEntry, now: float) -> bool:
    longest_s = RECENT_LINK_S if peer.link is None else RECENT_FRAME_S
    return now - peer.last_received_at > longest_s


def _now() -> float:
    return asyncio.get_running_loop().time()
