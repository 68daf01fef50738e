"""Links to agents: one task for each, from its opening to its end."""

import asyncio
import logging
from typing import TYPE_CHECKING

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import LinkClosed
from endivetally_core.joining import AgentIdentity
from endivetally_core.messages import AgentState
from endivetally_core.messages import AnyMessage
from endivetally_core.messages import Grant
from endivetally_core.messages import Outcome
from endivetally_core.messages import Recalled
from endivetally_core.messages import Revoke

from endivetally_entry.exchange import MessageReceiver

if TYPE_CHECKING:
    from endivetally_core.links import LinkListener
    from endivetally_policy.scheduling import Scheduler
    from endivetally_table.journal import Journal

    from endivetally_entry.acknowledgements import Acknowledgements
    from endivetally_entry.dispatching import Dispatcher
    from endivetally_entry.exchange import Exchange
    from endivetally_entry.recovery import Recovery
    from endivetally_entry.roster import AgentRoster
    from endivetally_entry.roster import KnownAgent

_log = logging.getLogger(__name__)

REJOIN_GRACE_S = 3
SILENCE_S = 3
ADMISSION_RETRY_S = 1


class AgentLinks:
    """Serves the links of agents.

    :param scheduler: learns which agents can take tasks.
    :param journal: admits agents to tasks that may run at most once.
    :param registered: set once this entry's row is in the table; a journal
        without it takes itself for fenced.
    """

    def __init__(
        self,
        roster: 'AgentRoster',
        exchange: 'Exchange',
        scheduler: 'Scheduler',
        dispatcher: 'Dispatcher',
        journal: 'Journal',
        recovery: 'Recovery',
        acknowledgements: 'Acknowledgements',
        registered: asyncio.Event,
    ) -> None:
        self._roster = roster
        self._exchange = exchange
        self._scheduler = scheduler
        self._dispatcher = dispatcher
        self._journal = journal
        self._recovery = recovery
        self._acknowledgements = acknowledgements
        self._registered = registered

    async def serve(self, identity: AgentIdentity, listener: 'LinkListener') -> None:
        """Serve one link until it ends, then wait for the next a little."""
        try:
            socket = await listener.accept()
        except LinkClosed:
            return
        link = self._exchange.open_link(
            socket,
            peer=identity.name,
            data_centre=identity.data_centre,
        )
        known = self._roster.link_opened(identity, link)
        self._scheduler.agent_joined(identity, _now())
        self._dispatcher.resend(identity.incarnation)
        admission = asyncio.create_task(self._admit(identity.incarnation))
        receiver = _AgentReceiver(self, known)
        try:
            await self._exchange.receive_all(link, receiver)
        finally:
            admission.cancel()
            link.close()
        if known.link is link:
            await self._link_lost(known)

    def mark_silent_agents(self) -> list[str]:
        """Stop giving work to agents that have not been heard for a while.

        :returns: incarnations of those newly silent.
        """
        oldest = _now() - SILENCE_S
        silent = [
            agent
            for agent in self._roster.agents
            if agent.heard_at < oldest and agent.state != 'silent'
        ]
        for known in silent:
            self._give_up(known)
        return [agent.identity.incarnation for agent in silent]

    def reported_silent(self, incarnations: list[str]) -> None:
        """Stop giving work to agents that another entry has lost."""
        for incarnation in incarnations:
            known = self._roster.get(incarnation)
            if known is not None and known.state == 'open':
                self._give_up(known)

    def state_received(self, known: 'KnownAgent', message: AgentState) -> None:
        """Note the state that an agent reports."""
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

    def _give_up(self, known: 'KnownAgent') -> None:
        incarnation = known.identity.incarnation
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
        self._scheduler.agent_changed(
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
        self._journal.release_agents(frozenset((incarnation,)))
        self._scheduler.agent_left(incarnation, _now())
        self._dispatcher.fail_bindings(incarnation, 'agent_lost', exclusive=True)
        _log.warning('agent lost', extra={'agent': incarnation})


class _AgentReceiver(MessageReceiver):
    """Receives the messages of one agent."""

    def __init__(self, links: AgentLinks, known: 'KnownAgent') -> None:
        self._links = links
        self._known = known

    def heard(self) -> None:
        """Note that the agent is alive."""
        self._known.heard_at = _now()

    def handle(self, message: AnyMessage) -> None:
        """Handle one message."""
        self._links.handle(self._known, message)


def _now() -> float:
    return asyncio.get_running_loop().time()
