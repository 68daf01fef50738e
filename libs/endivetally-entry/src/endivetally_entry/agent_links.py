"""Links to agents: one task for each, from its opening to its end."""

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

from endivetally_entry.exchange import MessageReceiver

if TYPE_CHECKING:
    from collections.abc import Callable

    from endivetally_core.joining import EntryIdentity
    from endivetally_core.links import LinkListener
    from endivetally_core.messages import EntryState
    from endivetally_policy.scheduling import Scheduler
    from endivetally_table.journal import Journal

    from endivetally_entry.acknowledgements import Acknowledgements
    from endivetally_entry.dispatching import Dispatcher
    from endivetally_entry.exchange import LinkTransport
    from endivetally_entry.recovery import Recovery
    from endivetally_entry.roster import AgentRoster
    from endivetally_entry.roster import KnownAgent

_log = logging.getLogger(__name__)

REJOIN_GRACE_S = 3
SILENCE_S = 3
PROBE_AFTER_S = 1
NEWS_DELAY_S = 1.5
STARTS_WATCH = frozenset((WatchRequest.START, WatchRequest.START_AND_PROBE))
ANSWERED = frozenset((WatchRequest.START_AND_PROBE, WatchRequest.PROBE))
ADMISSION_RETRY_S = 1


class AgentLinks:
    """Serves the links of agents.

    :param scheduler: learns which agents can take tasks.
    :param journal: admits agents to tasks that may run at most once.
    :param describe: returns the state of this entry.
    :param registered: set once this entry's row is in the table; a journal
        without it takes itself for fenced.
    """

    def __init__(
        self,
        roster: 'AgentRoster',
        transport: 'LinkTransport',
        scheduler: 'Scheduler',
        dispatcher: 'Dispatcher',
        journal: 'Journal',
        recovery: 'Recovery',
        acknowledgements: 'Acknowledgements',
        describe: 'Callable[[], EntryState]',
        registered: asyncio.Event,
    ) -> None:
        self._roster = roster
        self._transport = transport
        self._scheduler = scheduler
        self._dispatcher = dispatcher
        self._journal = journal
        self._recovery = recovery
        self._acknowledgements = acknowledgements
        self._describe = describe
        self._told_addresses: list[str] = []
        self._registered = registered

    async def serve(self, identity: AgentIdentity, listener: 'LinkListener') -> None:
        """Serve one link until it ends, then wait for the next a little."""
        try:
            socket = await listener.accept()
        except LinkClosed:
            return
        link = self._transport.open_link(
            socket,
            peer=identity.name,
            data_centre=identity.data_centre,
        )
        known = self._roster.link_opened(identity, link)
        self._scheduler.add_agent(identity, _now())
        self._dispatcher.resend(identity.incarnation)
        admission = asyncio.create_task(self._admit(identity.incarnation))
        receiver = _AgentReceiver(self, known)
        try:
            await self._transport.receive_all(link, receiver)
        finally:
            admission.cancel()
            link.close()
        if known.link is link:
            await self._link_lost(known)

    def mark_silent_agents(self) -> list[str]:
        """Stop giving work to agents that had to be heard and were not.

        These are the agents that heartbeat this entry and those that it probed.

        :returns: incarnations of those newly silent.
        """
        now = _now()
        silent = [
            agent
            for agent in self._roster.agents
            if agent.state != 'silent' and agent.is_overdue(now, SILENCE_S)
        ]
        for known in silent:
            self._give_up(known)
        return [agent.identity.incarnation for agent in silent]

    def probe_silent_agents(self) -> None:
        """Ask silent agents again, whose probe may have been lost."""
        oldest = _now() - SILENCE_S
        for known in self._roster.agents:
            probed_at = known.probed_at
            if known.state == 'silent' and (probed_at is None or probed_at < oldest):
                self._probe(known)

    def probe_busy_agents(self) -> None:
        """Ask agents for their state that have work and were not heard lately."""
        for incarnation in self._dispatcher.bound_agents:
            known = self._roster.get(incarnation)
            if known is not None:
                self._probe_unheard(known)

    def probe_all_agents(self) -> None:
        """Ask all agents for their state that were not heard lately."""
        for known in self._roster.agents:
            self._probe_unheard(known)

    def reported_silent(self, incarnations: list[str]) -> None:
        """Stop giving work to agents that another entry has lost.

        An agent that was heard here since then answers the probe.
        """
        oldest = _now() - NEWS_DELAY_S
        for incarnation in incarnations:
            known = self._roster.get(incarnation)
            if known is None or known.state != 'open':
                continue
            if known.heard_at < oldest:
                self._give_up(known)

    def tell_entries(self, identities: 'list[EntryIdentity]') -> None:
        """Tell the watched agents when the entries have changed."""
        addresses = sorted(str(identity.address) for identity in identities)
        if addresses != self._told_addresses:
            self._told_addresses = addresses
            self._roster.broadcast_to_watched(EntryNews(addresses))

    def state_received(self, known: 'KnownAgent', message: AgentState) -> None:
        """Note the state that an agent reports, and answer a heartbeat."""
        if message.watch in STARTS_WATCH:
            known.watched = True
        elif message.watch is WatchRequest.STOP:
            known.watched = False
        if message.watch in ANSWERED:
            self._roster.post(known.identity.incarnation, self._describe())
        known.running = message.running
        known.memory_mb = message.memory_mb
        self._change_state(known, message.state)
        if message.state == 'leaving':
            self._acknowledgements.flush_agent(known.identity.incarnation)

    def handle(self, known: 'KnownAgent', message: AnyMessage) -> None:
        """Handle a message of an agent."""
        incarnation = known.identity.incarnation
        match message:
            case Outcome():
                if not self._recovery.outcome_received(message):
                    self._dispatcher.outcome_received(incarnation, message)
            case Grant():
                self._dispatcher.credits_granted(incarnation, message.credits)
            case Revoke():
                self._dispatcher.credits_revoked(incarnation, message.credits)
            case AgentState():
                self.state_received(known, message)
            case Recalled():
                self._recovery.recalled(message)
            case _:
                _log.debug('message ignored', extra={'type': type(message).__name__})

    def _probe_unheard(self, known: 'KnownAgent') -> None:
        if known.watched or known.probed_at is not None:
            return
        if known.heard_at < _now() - PROBE_AFTER_S:
            self._probe(known)

    def _probe(self, known: 'KnownAgent') -> None:
        known.probed_at = _now()
        probe = msgspec.structs.replace(self._describe(), probe=True)
        self._roster.post(known.identity.incarnation, probe)

    def _give_up(self, known: 'KnownAgent') -> None:
        incarnation = known.identity.incarnation
        # An agent that wakes up, or was never silent, answers.
        self._probe(known)
        # The agent counts these credits as given out until it hears of them.
        self._dispatcher.credits_revoked(incarnation, known.slots)
        self._change_state(known, 'silent')
        self._dispatcher.fail_bindings(incarnation, 'agent_silent', exclusive=False)

    def _change_state(self, known: 'KnownAgent', state: str) -> None:
        if known.state != state:
            _log.info(
                'agent changed state',
                extra={'agent': known.identity.incarnation, 'state': state},
            )
        known.state = state
        self._scheduler.update_agent(
            known.identity.incarnation,
            state,
            known.running,
            _now(),
        )
        self._dispatcher.wake()

    async def _admit(self, incarnation: str) -> None:
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

    async def _link_lost(self, known: 'KnownAgent') -> None:
        incarnation = known.identity.incarnation
        known.link = None
        self._change_state(known, 'closed')
        self._dispatcher.fail_bindings(incarnation, 'link_lost', exclusive=False)
        await asyncio.sleep(REJOIN_GRACE_S)
        if known.link is not None:
            return
        self._roster.forget(incarnation)
        self._journal.remove_agents(frozenset((incarnation,)))
        self._scheduler.remove_agent(incarnation, _now())
        self._dispatcher.fail_bindings(incarnation, 'agent_lost', exclusive=True)
        _log.warning('agent lost', extra={'agent': incarnation})


class _AgentReceiver(MessageReceiver):
    """Receives the messages of one agent."""

    def __init__(self, links: AgentLinks, known: 'KnownAgent') -> None:
        self._links = links
        self._known = known

    def heard(self) -> None:
        """Note that the agent is alive."""
        self._known.heard(_now())

    def handle(self, message: AnyMessage) -> None:
        """Handle one message."""
        self._links.handle(self._known, message)


def _now() -> float:
    return asyncio.get_running_loop().time()
