"""Builders of requests, identities, recording links and running dispatchers."""

import asyncio

from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_core.joining import Address
from endivetally_core.joining import AgentIdentity
from endivetally_core.joining import EntryIdentity
from endivetally_core.links import Link
from endivetally_core.messages import Dispatch
from endivetally_entry.agent_registry import AgentRegistry
from endivetally_entry.dispatcher import Dispatcher
from endivetally_entry.requests import CallerRequest
from endivetally_policy.estimates import RunTimeEstimates
from endivetally_policy.scheduling import CreditScheduler

AGENT = AgentIdentity('agent-1', 'agent-1.1', 'dc-1', 'r', 'sweeps', 8, 64, 1000)


def identity(name='entry-1'):
    return EntryIdentity(name, f'{name}.1', 'dc-1', Address('127.0.0.1', 1))


def request(*tasks, key='k', kind='job'):
    deadline = asyncio.get_running_loop().time() + 30
    service = Service('sweeps', ServiceKind(kind))
    return CallerRequest('clerks', service, key, tasks or (b'1',), deadline)


class RecordingLink(Link):
    """Records posted messages and receives frames that a test has set."""

    def __init__(self):
        self.posted = []
        self.frames = []

    @property
    def closed(self):
        return False

    def post(self, message):
        self.posted.append(message)

    async def receive(self):
        frame = self.frames.pop(0)
        if isinstance(frame, Exception):
            raise frame
        return frame

    async def flush(self):
        """Return at once, as nothing is queued."""

    def close(self):
        """Stay open, as there is no connection."""


class DispatcherSetup:
    """A running dispatcher with one open agent that has granted no credits."""

    def __init__(self):
        now = asyncio.get_running_loop().time()
        self.link = RecordingLink()
        self.agent_registry = AgentRegistry()
        self.agent_registry.register_link(AGENT, self.link)
        self.scheduler = CreditScheduler('dc-1', RunTimeEstimates())
        self.scheduler.add_agent(AGENT, now)
        self.scheduler.update_agent(AGENT.incarnation, 'open', 0, now)
        self.scheduler.admit_agents(frozenset({AGENT.incarnation}))
        self.dispatcher = Dispatcher(self.scheduler, self.agent_registry)
        self.run_task = asyncio.create_task(self.dispatcher.run())

    @property
    def dispatches(self):
        return [
            message for message in self.link.posted if isinstance(message, Dispatch)
        ]
