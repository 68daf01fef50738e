"""Handles the messages that entries exchange with each other."""

import asyncio
import logging
from typing import TYPE_CHECKING

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable
from endivetally_core.messages import AgentNews
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import EntryState
from endivetally_core.messages import Forward
from endivetally_core.messages import Forwarded

from endivetally_entry.execution import OwnershipMoved
from endivetally_entry.forwarding import NeverStarted
from endivetally_entry.forwarding import misdirected_reply
from endivetally_entry.forwarding import never_started_reply
from endivetally_entry.forwarding import response_reply
from endivetally_entry.requests import STARTUP_WAIT_S
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import Response
from endivetally_entry.requests import error_response

if TYPE_CHECKING:
    from endivetally_entry.entry import Entry
    from endivetally_entry.entry_links import PeerEntry

_log = logging.getLogger(__name__)


class PeerProtocol:
    """Handles the messages of other entries and broadcasts this entry's state.

    :param entry: the entry that the messages are for.
    """

    def __init__(self, entry: 'Entry') -> None:
        self._entry = entry

    def broadcast_state(self) -> None:
        """Send state, quota demand and shard map version to all connected entries."""
        entry = self._entry
        version = entry.shard_directory.shard_map.version
        state = EntryState(
            entry.state,
            entry.quotas.demand,
            version,
            pools=sorted(entry.find_served_pools()),
        )
        entry.entry_links.broadcast(state)

    def handle_message(self, peer: 'PeerEntry', message: AnyMessage) -> None:
        """Pass a message of another entry to the component that handles it."""
        match message:
            case Forward():
                self._entry.spawn(self._respond_to_forward(peer, message))
            case Forwarded():
                self._entry.forwarder.handle_reply(message)
            case EntryState():
                self._handle_state(peer, message)
            case AgentNews():
                self._entry.agent_links.handle_silence_report(message.agents)
            case _:
                _log.debug(
                    'message of unexpected type ignored',
                    extra={'type': type(message).__name__},
                )

    def _handle_state(self, peer: 'PeerEntry', message: EntryState) -> None:
        entry = self._entry
        now = asyncio.get_running_loop().time()
        entry.quotas.record_report(peer.identity.incarnation, message.usage, now)
        if message.map_version > entry.shard_directory.shard_map.version:
            entry.spawn(self._refresh_map())

    async def _refresh_map(self) -> None:
        try:
            await self._entry.ownership.refresh()
        except TableUnavailable:
            # The newer map may show a takeover of this entry.
            self._entry.liveness.mark_uncertain()
            _log.debug('shard map not refreshed: the table service is unavailable')

    async def _respond_to_forward(self, peer: 'PeerEntry', message: Forward) -> None:
        try:
            response = await self._run_forward(message)
        except OwnershipMoved:
            reply = misdirected_reply(message.forward_id)
        except NeverStarted:
            reply = never_started_reply(message.forward_id)
        except RequestError as error:
            reply = response_reply(message.forward_id, error_response(error))
        else:
            reply = response_reply(message.forward_id, response)
        if peer.link is not None:
            peer.link.post(reply)

    async def _run_forward(self, message: Forward) -> Response:
        if not (message.cancel or message.former_owner):
            await self._wait_until_open()
        config = self._entry.active_config.config
        service = config.find_service(message.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, message.service)
        team = config.find_team(message.team)
        now = asyncio.get_running_loop().time()
        request = CallerRequest(
            team=message.team,
            service=service,
            key=message.key,
            tasks=tuple(message.tasks),
            deadline=now + message.deadline_ms / 1000,
            weight=1 if team is None else team.weight,
        )
        router = self._entry.request_router
        if message.former_owner:
            return await router.handle_as_former_owner(request)
        return await router.handle_forwarded(request, cancel=message.cancel)

    async def _wait_until_open(self) -> None:
        """Wait for the agents, which join after this entry has acquired shards.

        :raises RequestError: when the entry does not open in time.
        """
        await self._entry.wait_until_open(STARTUP_WAIT_S)
        if not self._entry.opened.is_set():
            # An earlier submission of the key may have run at another entry.
            raise RequestError(
                ErrorKind.NOT_READY,
                self._entry.unready_reason(),
                execution_state=ExecutionState.UNKNOWN,
            )
