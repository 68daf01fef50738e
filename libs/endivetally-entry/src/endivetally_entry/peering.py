"""What an entry does with the messages of other entries."""

import asyncio
import logging
from typing import TYPE_CHECKING

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable
from endivetally_core.messages import AgentNews
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import EntryState
from endivetally_core.messages import Forward
from endivetally_core.messages import Forwarded

from endivetally_entry.executions import OwnershipMoved
from endivetally_entry.forwards import NeverStarted
from endivetally_entry.forwards import forwarded_answer
from endivetally_entry.forwards import misdirected
from endivetally_entry.forwards import never_started
from endivetally_entry.requests import Answer
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import error_answer

if TYPE_CHECKING:
    from endivetally_entry.entry import Entry
    from endivetally_entry.entry_links import KnownEntry

_log = logging.getLogger(__name__)


class Peering:
    """Handles the messages of other entries.

    :param entry: the daemon.
    """

    def __init__(self, entry: 'Entry') -> None:
        self._entry = entry

    def broadcast_state(self) -> None:
        """Tell every linked entry the state, the quota demand and the map."""
        entry = self._entry
        version = entry.shard_directory.shard_map.version
        state = EntryState(entry.state, entry.quotas.demand, version)
        entry.entry_links.broadcast(state)

    def message_received(self, known: 'KnownEntry', message: AnyMessage) -> None:
        """Handle one message."""
        match message:
            case Forward():
                self._entry.spawn(self._answer_forward(known, message))
            case Forwarded():
                self._entry.forwards.answered(message)
            case EntryState():
                self._state_received(known, message)
            case AgentNews():
                self._entry.agent_links.reported_silent(message.agents)
            case _:
                _log.debug('message ignored', extra={'type': type(message).__name__})

    def _state_received(self, known: 'KnownEntry', message: EntryState) -> None:
        entry = self._entry
        now = asyncio.get_running_loop().time()
        entry.quotas.record_report(known.identity.incarnation, message.usage, now)
        if message.map_version > entry.shard_directory.shard_map.version:
            entry.spawn(self._refresh_map())

    async def _refresh_map(self) -> None:
        try:
            await self._entry.ownership.refresh()
        except TableUnavailable:
            _log.debug('shard map not read')

    async def _answer_forward(self, known: 'KnownEntry', message: Forward) -> None:
        try:
            answer = await self._run_forward(message)
        except OwnershipMoved:
            reply = misdirected(message.forward_id)
        except NeverStarted:
            reply = never_started(message.forward_id)
        except RequestError as error:
            reply = forwarded_answer(message.forward_id, error_answer(error))
        else:
            reply = forwarded_answer(message.forward_id, answer)
        if known.link is not None:
            known.link.post(reply)

    async def _run_forward(self, message: Forward) -> Answer:
        text = self._entry.keeper.config
        service = text.find_service(message.service)
        if service is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, message.service)
        team = text.find_team(message.team)
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
            return await router.answer_as_former_owner(request)
        return await router.answer_forwarded(request, cancel=message.cancel)
