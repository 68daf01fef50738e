"""Links between entries, and the suspicion of those that fell silent."""

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

from endivetally_entry.exchange import MessageReceiver

if TYPE_CHECKING:
    from endivetally_core.links import Link
    from endivetally_core.links import LinkListener

    from endivetally_entry.exchange import LinkTransport
    from endivetally_entry.forwarding import Forwards

_log = logging.getLogger(__name__)

JOIN_TIMEOUT_S = 2
REDIAL_S = 0.3
SILENCE_S = 3
ABSENCE_S = 1.5
SUCCESSOR_STEP_S = 1
ISOLATED_DELAY_S = 15
LONELY_DELAY_S = 5
DOUBT_S = 1
RECENT_S = 1.5


@dataclass(slots=True)
class KnownEntry:
    """Another entry and the links to it.

    :param heard_at: time of its last frame, on the event loop's clock.
    :param dialling: whether a task of this process keeps a link to it.
    """

    identity: EntryIdentity
    links: 'list[Link]' = field(default_factory=list)
    state: str = 'open'
    heard_at: float = 0
    dialling: bool = False

    @property
    def link(self) -> 'Link | None':
        """The newest open link."""
        for link in reversed(self.links):
            if not link.closed:
                return link
        return None


class EntryLinks:
    """Knows the other entries and serves the links to them.

    :param identity: this entry.
    :param on_message: handles a message of another entry.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        transport: 'LinkTransport',
        on_message: 'Callable[[KnownEntry, AnyMessage], None]',
    ) -> None:
        self._identity = identity
        self._transport = transport
        self._on_message = on_message
        self._known: dict[str, KnownEntry] = {}
        self._forwards: Forwards | None = None
        self._client = AsyncHTTPClient()
        self._dials: set[asyncio.Task[None]] = set()

    @property
    def entries(self) -> list[KnownEntry]:
        """The other entries."""
        return list(self._known.values())

    @property
    def identities(self) -> list[EntryIdentity]:
        """This entry and those that it has a link to."""
        linked = [known.identity for known in self.entries if known.link]
        return [self._identity, *linked]

    def attach(self, forwards: 'Forwards') -> None:
        """Set who is told about lost links."""
        self._forwards = forwards

    def find_link(self, incarnation: str) -> 'Link | None':
        """Return the open link to an entry."""
        known = self._known.get(incarnation)
        return known.link if known else None

    def broadcast(self, message: AnyMessage) -> None:
        """Send a message to every linked entry."""
        for known in self._known.values():
            if known.link is not None:
                known.link.post(message)

    def connect(self, identity: EntryIdentity) -> None:
        """Keep a link to an entry, unless there is one already."""
        if identity.incarnation == self._identity.incarnation:
            return
        known = self._learn(identity)
        if known.dialling or known.link is not None:
            return
        known.dialling = True
        dialling = asyncio.create_task(self._dial_until_gone(known))
        self._dials.add(dialling)
        dialling.add_done_callback(self._dials.discard)

    async def connect_seed(self, address: Address) -> None:
        """Introduce this entry at an address and connect to all it knows.

        :raises LinkClosed: when nobody answers there.
        """
        answer = await self._introduce(address)
        for identity in (answer.entry, *answer.entries):
            self.connect(identity)

    def forget(self, incarnation: str) -> None:
        """Drop an entry that is fenced or has left."""
        known = self._known.pop(incarnation, None)
        if known is not None:
            self._close(known)

    async def serve(self, identity: EntryIdentity, listener: 'LinkListener') -> None:
        """Serve a link that another entry asked for."""
        try:
            socket = await listener.accept()
        except LinkClosed:
            return
        known = self._learn(identity)
        link = self._transport.open_link(
            socket,
            peer=identity.name,
            data_centre=identity.data_centre,
        )
        await self._serve_link(known, link)

    def suspects(self) -> list[KnownEntry]:
        """Return entries that are silent or without a link for too long."""
        now = _now()
        return [known for known in self._known.values() if _is_suspect(known, now)]

    def any_doubtful(self) -> bool:
        """Return whether an entry is suspected, or soon will be."""
        soon = _now() + DOUBT_S
        return any(_is_suspect(known, soon) for known in self._known.values())

    def cut_off(self, known: KnownEntry) -> None:
        """Close the links to a suspect, so that nothing waits for it."""
        self._close(known)
        if self._forwards is not None:
            self._forwards.link_lost(known.identity.incarnation)

    def restart_silence(self) -> None:
        """Forgive silence, after this process itself was stopped."""
        for known in self._known.values():
            known.heard_at = _now()

    def close(self) -> None:
        """End every link."""
        for known in self._known.values():
            self._close(known)
        for dialling in self._dials:
            dialling.cancel()

    def _learn(self, identity: EntryIdentity) -> KnownEntry:
        known = self._known.get(identity.incarnation)
        if known is None:
            known = KnownEntry(identity, heard_at=_now())
            self._known[identity.incarnation] = known
        return known

    async def _dial_until_gone(self, known: KnownEntry) -> None:
        while known.identity.incarnation in self._known:
            try:
                await self._dial(known)
            except LinkClosed:
                await asyncio.sleep(REDIAL_S)

    async def _dial(self, known: KnownEntry) -> None:
        answer = await self._introduce(known.identity.address)
        if answer.entry.incarnation != known.identity.incarnation:
            raise LinkClosed(known.identity.incarnation)
        for identity in answer.entries:
            self.connect(identity)
        socket = await dial(answer.link)
        link = self._transport.open_link(
            socket,
            peer=known.identity.name,
            data_centre=known.identity.data_centre,
        )
        await self._serve_link(known, link)

    async def _introduce(self, address: Address) -> JoinResponse:
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

    async def _serve_link(self, known: KnownEntry, link: 'Link') -> None:
        known.links.append(link)
        known.heard_at = _now()
        link.post(EntryState('open'))
        receiver = _EntryReceiver(known, self._on_message)
        try:
            await self._transport.receive_all(link, receiver)
        finally:
            link.close()
            known.links.remove(link)
        if known.link is None and self._forwards is not None:
            self._forwards.link_lost(known.identity.incarnation)

    def _close(self, known: KnownEntry) -> None:
        for link in list(known.links):
            link.close()


class _EntryReceiver(MessageReceiver):
    """Receives the messages of one entry."""

    def __init__(
        self,
        known: KnownEntry,
        on_message: 'Callable[[KnownEntry, AnyMessage], None]',
    ) -> None:
        self._known = known
        self._on_message = on_message

    def heard(self) -> None:
        """Note that the entry is alive."""
        self._known.heard_at = _now()

    def handle(self, message: AnyMessage) -> None:
        """Handle one message."""
        if isinstance(message, EntryState):
            self._known.state = message.state
        self._on_message(self._known, message)


class Succession:
    """Takes over entries that are suspected to be dead.

    :param take_over: fences an entry in the table and shares out its shards.
    :param is_isolated: whether this entry seems to be the one that is cut off.
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
        self._since: dict[str, float] = {}

    async def check(self) -> None:
        """Take over each suspect whose turn it is for this entry."""
        suspects = self._links.suspects()
        names = {known.identity.incarnation for known in suspects}
        self._since = {
            name: since for name, since in self._since.items() if name in names
        }
        for known in suspects:
            self._links.cut_off(known)
            since = self._since.setdefault(known.identity.incarnation, _now())
            if _now() >= since + self._delay_s(known, names):
                await self._succeed(known)

    def _delay_s(self, dead: KnownEntry, suspects: set[str]) -> float:
        live = [
            identity.incarnation
            for identity in self._links.identities
            if identity.incarnation not in suspects
        ]
        ranked = rank_by_rendezvous(dead.identity.incarnation, live)
        turn = ranked.index(self._identity.incarnation)
        # Those on the other side of a cut go first: they reach the targets.
        return turn * SUCCESSOR_STEP_S + self._cut_off_delay_s()

    def _cut_off_delay_s(self) -> float:
        if self._is_isolated():
            return ISOLATED_DELAY_S
        recent = _now() - RECENT_S
        known = self._links.entries
        quiet = sum(entry.heard_at < recent for entry in known)
        lost_most = len(known) > 1 and quiet * 2 > len(known)
        return LONELY_DELAY_S if lost_most else 0

    async def _succeed(self, dead: KnownEntry) -> None:
        try:
            await self._take_over(dead.identity)
        except TableUnavailable:
            _log.warning('takeover waits for the table')
            return
        self._links.forget(dead.identity.incarnation)


def _is_suspect(known: KnownEntry, now: float) -> bool:
    silent_s = now - known.heard_at
    if known.link is None:
        return silent_s > ABSENCE_S
    return silent_s > SILENCE_S


def _now() -> float:
    return asyncio.get_running_loop().time()
