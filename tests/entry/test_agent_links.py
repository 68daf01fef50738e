"""Tests of the links to agents that reconnect."""

import asyncio
from types import SimpleNamespace

import pytest
from differential.clock import run_virtually
from endivetally_core.messages import EntryState
from endivetally_entry.agent_links import AgentLinks
from entry.builders import AGENT
from entry.builders import DispatcherSetup
from entry.builders import RecordingLink


class TimedTransport:
    """Opens links that stay open for a given time, in seconds."""

    def open_link(self, open_s, **_details):
        link = RecordingLink()
        link.open_s = open_s
        return link

    async def receive_all(self, link, _handler):
        await asyncio.sleep(link.open_s)


class RecordingJournal:
    """Holds the agents that exclusive tasks may be sent to."""

    def __init__(self):
        self.admitted_agents = frozenset()

    async def admit_agents(self, incarnations):
        self.admitted_agents |= incarnations

    def remove_agents(self, incarnations):
        self.admitted_agents -= incarnations


class TimedListener:
    """Accepts a link that stays open for a given time."""

    def __init__(self, open_s):
        self._open_s = open_s

    async def accept(self):
        return self._open_s


async def _serve_links(spans, checked_at):
    """Serve links and return the agent's registration and whether it is admitted.

    :param spans: when each link opens, and for how long it stays open.
    """
    setup, journal = DispatcherSetup(), RecordingJournal()
    setup.agent_registry.remove(AGENT.incarnation)
    registered = asyncio.Event()
    registered.set()
    links = AgentLinks(
        setup.agent_registry,
        TimedTransport(),
        setup.scheduler,
        setup.dispatcher,
        journal,
        SimpleNamespace(),
        SimpleNamespace(),
        lambda: EntryState('open'),
        registered,
    )
    loop = asyncio.get_running_loop()
    serving = []
    for opens_at, open_s in spans:
        await asyncio.sleep(opens_at - loop.time())
        served = links.serve_link(AGENT, TimedListener(open_s))
        serving.append(asyncio.create_task(served))
    await asyncio.sleep(checked_at - loop.time())
    agent = setup.agent_registry.get(AGENT.incarnation)
    return agent, AGENT.incarnation in journal.admitted_agents


class TestReconnect:
    @pytest.mark.parametrize(
        ('spans', 'checked_at'),
        [
            # Lost at 2 s and 4 s, and back at 5.5 s, within the grace of the latter.
            (((1, 1), (3, 1), (5.5, 100)), 10),
            # The grace of the first loss ends at 5 s, while that of the second runs.
            (((1, 1), (3, 1), (6.5, 100)), 10),
            (((1, 1), (3, 1)), 6),
        ],
    )
    def test_an_agent_is_not_lost_by_an_earlier_loss_of_its_link(
        self, spans, checked_at
    ):
        agent, admitted = run_virtually(_serve_links(spans, checked_at))
        assert agent is not None
        assert admitted
        assert (agent.link is None) is (len(spans) == 2)

    def test_an_agent_that_does_not_return_in_time_is_lost(self):
        agent, admitted = run_virtually(_serve_links(((1, 1), (3, 1)), 8))
        assert agent is None
        assert not admitted
