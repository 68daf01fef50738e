"""Links to agents, and the detection of agents that fall silent."""

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec
from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import LinkClosed
from endivetally_core.joining import AgentIdentity
from endivetally_core.messages import AgentState
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import EntryNews
from endivetally_core.messages import Grant
from endivetally_core.messages import Outcome
from endivetally_core.messages import Recalled
from endivetally_core.messages import Revoke
from endivetally_core.wire import WatchRequest

from endivetally_entry.exchange import MessageHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from endivetally_core.joining import EntryIdentity
    from endivetally_core.links import LinkListener
    from endivetally_core.messages import EntryState
    from endivetally_policy.scheduling import Scheduler
    from endivetally_table.journal import Journal

    from endivetally_entry.acknowledgements import AcknowledgementBatcher
    from endivetally_entry.agent_registry import AgentRegistry
    from endivetally_entry.agent_registry import RegisteredAgent
    from endivetally_entry.dispatcher import Dispatcher
    from endivetally_entry.exchange import LinkTransport
    from endivetally_entry.recovery import RequestRecovery

_log = logging.getLogger(__name__)

# How long an agent without a link may take to reconnect before it counts as lost.
REJOIN_GRACE_S = 3
SILENCE_TIMEOUT_S = 3
# An agent without a frame for this long is probed when its state matters.
PROBE_AFTER_QUIET_S = 1
# An agent that sent a frame within this time is not silent, whatever another entry
# reports.
RECENT_FRAME_S = 1.5
WATCH_START_REQUESTS = frozenset((WatchRequest.START, WatchRequest.START_AND_PROBE))
PROBE_REQUESTS = frozenset((WatchRequest.START_AND_PROBE, WatchRequest.PROBE))
ADMISSION_RETRY_S = 1


class AgentLinks:
    """Serves the links of agents and tells the scheduler which can take tasks.

    :param journal: records which agents exclusive tasks may be sent to.
    :param make_state: builds the state message of this entry.
    :param registered: set once this entry's row is in the table; before that the
        journal would find no live row and treat this entry as fenced.
    """

    def __init__(
        self,
        agent_registry: 'AgentRegistry',
        transport: 'LinkTransport',
        scheduler: 'Scheduler',
        dispatcher: 'Dispatcher',
        journal: 'Journal',
        recovery: 'RequestRecovery',
        acknowledgements: 'AcknowledgementBatcher',
        make_state: 'Callable[[], EntryState]',
        registered: asyncio.Event,
    ) -> None:
        self._agent_registry = agent_registry
        self._transport = transport
        self._scheduler = scheduler
        self._dispatcher = dispatcher
        self._journal = journal
        self._recovery = recovery
        self._acknowledgements = acknowledgements
        self._make_state = make_state
        self._announced_addresses: list[str] = []
        self._registered = registered

    async def serve_link(
        self, identity: AgentIdentity, listener: 'LinkListener'
    ) -> None:
        """Serve a link until it closes, then give the agent time to reconnect."""
        try:
            socket = await listener.accept()
        except LinkClosed:
            return
        link = self._transport.open_link(
            socket,
            peer=identity.name,
            data_centre=identity.data_centre,
        )
        agent = self._agent_registry.register_link(identity, link)
        self._scheduler.add_agent(identity, _now())
        self._dispatcher.resend_attempts(identity.incarnation)
        admission = asyncio.create_task(self._admit_agent(identity.incarnation))
        handler = _AgentMessageHandler(self, agent)
        try:
            await self._transport.receive_all(link, handler)
        finally:
            admission.cancel()
            link.close()
        if agent.link is link:
            await self._handle_lost_link(agent)

    def mark_silent_agents(self) -> list[str]:
        """Stop sending tasks to agents whose heartbeat or probe response is overdue.

        :returns: incarnations of the agents that have become silent.
        """
        now = _now()
        silent = [
            candidate
            for candidate in self._agent_registry.agents
            if candidate.state != 'silent'
            and candidate.is_overdue(now, SILENCE_TIMEOUT_S)
        ]
        for agent in silent:
            self._mark_silent(agent)
        return [candidate.identity.incarnation for candidate in silent]

    def probe_silent_agents(self) -> None:
        """Repeat the probe of silent agents, as the first may have been lost."""
        oldest = _now() - SILENCE_TIMEOUT_S
        for agent in self._agent_registry.agents:
            probed_at = agent.probed_at
            if agent.state == 'silent' and (probed_at is None or probed_at < oldest):
                self._probe(agent)

    def probe_busy_agents(self) -> None:
        """Probe agents with open attempts that have sent no frame recently."""
        for incarnation in self._dispatcher.busy_agents:
            agent = self._agent_registry.get(incarnation)
            if agent is not None:
                self._probe_if_quiet(agent)

    def probe_all_agents(self) -> None:
        """Probe all agents that have sent no frame recently."""
        for agent in self._agent_registry.agents:
            self._probe_if_quiet(agent)

    def handle_silence_report(self, incarnations: list[str]) -> None:
        """Stop sending tasks to agents that another entry reports as silent.

        Agents that have sent a frame here recently are skipped. The others are
        probed, and one that responds becomes available again.
        """
        oldest = _now() - RECENT_FRAME_S
        for incarnation in incarnations:
            agent = self._agent_registry.get(incarnation)
            if agent is None or agent.state != 'open':
                continue
            if agent.last_received_at < oldest:
                self._mark_silent(agent)

    def announce_entries(self, identities: 'list[EntryIdentity]') -> None:
        """Send the addresses of the entries to watched agents when they change."""
        addresses = sorted(str(identity.address) for identity in identities)
        if addresses != self._announced_addresses:
            self._announced_addresses = addresses
            self._agent_registry.broadcast_to_watched(EntryNews(addresses))

    def handle_state(self, agent: 'RegisteredAgent', message: AgentState) -> None:
        """Store the state that an agent reports, and respond if it is a probe."""
        if message.watch in WATCH_START_REQUESTS:
            agent.watched = True
        elif message.watch is WatchRequest.STOP:
            agent.watched = False
        if message.watch in PROBE_REQUESTS:
            self._agent_registry.post(agent.identity.incarnation, self._make_state())
        agent.running = message.running
        agent.memory_mb = message.memory_mb
        self._change_state(agent, message.state)
        if message.state == 'leaving':
            self._acknowledgements.flush_agent(agent.identity.incarnation)

    def handle_message(self, agent: 'RegisteredAgent', message: AnyMessage) -> None:
        """Pass a message of an agent to the component that handles it."""
        incarnation = agent.identity.incarnation
        match message:
            case Outcome():
                if not self._recovery.handle_recalled_outcome(message):
                    self._dispatcher.handle_outcome(incarnation, message)
            case Grant():
                self._dispatcher.add_credits(incarnation, message.credits)
            case Revoke():
                self._dispatcher.return_credits(incarnation, message.credits)
            case AgentState():
                self.handle_state(agent, message)
            case Recalled():
                self._recovery.handle_recall_report(message)
            case _:
                _log.debug(
                    'message of unexpected type ignored',
                    extra={'type': type(message).__name__},
                )

    def _probe_if_quiet(self, agent: 'RegisteredAgent') -> None:
        if agent.watched or agent.probed_at is not None:
            return
        if agent.last_received_at < _now() - PROBE_AFTER_QUIET_S:
            self._probe(agent)

    def _probe(self, agent: 'RegisteredAgent') -> None:
        agent.probed_at = _now()
        probe = msgspec.structs.replace(self._make_state(), probe=True)
        self._agent_registry.post(agent.identity.incarnation, probe)

    def _mark_silent(self, agent: 'RegisteredAgent') -> None:
        incarnation = agent.identity.incarnation
        # An agent that resumes, or was never silent, responds and becomes open again.
        self._probe(agent)
        # The agent counts the credits as outstanding until they are returned.
        self._dispatcher.return_credits(incarnation, agent.slots)
        self._change_state(agent, 'silent')
        self._dispatcher.fail_attempts(incarnation, 'agent_silent', exclusive=False)

    def _change_state(self, agent: 'RegisteredAgent', state: str) -> None:
        if agent.state != state:
            _log.info(
                'agent changed state',
                extra={'agent': agent.identity.incarnation, 'state': state},
            )
        agent.state = state
        self._scheduler.update_agent(
            agent.identity.incarnation,
            state,
            agent.running,
            _now(),
        )
        self._dispatcher.wake()

    async def _admit_agent(self, incarnation: str) -> None:
        await self._registered.wait()
        while True:
            try:
                await self._journal.admit_agents(frozenset((incarnation,)))
            except EndivetallyError:
                await asyncio.sleep(ADMISSION_RETRY_S)
                continue
            self._scheduler.admit_agents(frozenset((incarnation,)))
            self._dispatcher.wake()
            return

    async def _handle_lost_link(self, agent: 'RegisteredAgent') -> None:
        incarnation = agent.identity.incarnation
        agent.link = None
        agent.losses += 1
        losses = agent.losses
        self._change_state(agent, 'closed')
        self._dispatcher.fail_attempts(incarnation, 'link_lost', exclusive=False)
        await asyncio.sleep(REJOIN_GRACE_S)
        # After a later loss the agent has the whole time again.
        if agent.link is not None or agent.losses != losses:
            return
        self._agent_registry.remove(incarnation)
        self._journal.remove_agents(frozenset((incarnation,)))
        self._scheduler.remove_agent(incarnation, _now())
        self._dispatcher.fail_attempts(incarnation, 'agent_lost', exclusive=True)
        _log.warning('agent lost', extra={'agent': incarnation})


class _AgentMessageHandler(MessageHandler):
    """Handles the messages of one agent."""

    def __init__(self, links: AgentLinks, agent: 'RegisteredAgent') -> None:
        self._links = links
        self._agent = agent

    def frame_received(self) -> None:
        """Restart the agent's silence timeout."""
        self._agent.reset_silence(_now())

    def handle_message(self, message: AnyMessage) -> None:
        """Pass the message and its sender to the links."""
        self._links.handle_message(self._agent, message)


def _now() -> float:
    return asyncio.get_running_loop().time()
