"""Tests of the registry of agents and of their silence timeouts."""

import asyncio

import pytest
from endivetally_core.joining import AgentIdentity
from endivetally_entry.agent_registry import AgentRegistry

SILENCE_TIMEOUT_S = 3
IDENTITY = AgentIdentity('a-1', 'a-1.x', 'dc-1', 'rack-1', 'lookups', 8, 64, 1000)


class FakeLink:
    def __init__(self):
        self.posted = []

    def post(self, message):
        self.posted.append(message)

    def close(self):
        """Do nothing, as there is no connection."""


async def _register_agent(registry, **fields):
    agent = registry.register_link(IDENTITY, FakeLink())
    for name, value in fields.items():
        setattr(agent, name, value)
    return agent


class TestSilence:
    @pytest.mark.parametrize(
        ('fields', 'elapsed_s', 'overdue'),
        [
            ({}, 99, False),
            ({'watched': True}, 2.9, False),
            ({'watched': True}, 3.1, True),
            ({'watched': True, 'link': None}, 99, False),
            ({'probed_at': 0}, 2.9, False),
            ({'probed_at': 0}, 3.1, True),
        ],
    )
    async def test_an_agent_is_overdue_only_if_a_frame_from_it_was_expected(
        self, fields, elapsed_s, overdue
    ):
        agent = await _register_agent(AgentRegistry(), last_received_at=0, **fields)
        assert agent.is_overdue(elapsed_s, SILENCE_TIMEOUT_S) == overdue

    @pytest.mark.parametrize(
        ('fields', 'elapsed_s', 'responsive'),
        [
            ({}, 99, True),
            ({'state': 'silent'}, 0, False),
            ({'link': None}, 0, False),
            ({'watched': True}, 1.4, True),
            ({'watched': True}, 1.6, False),
            ({'probed_at': 0}, 0.7, True),
            ({'probed_at': 0}, 0.8, False),
        ],
    )
    async def test_an_agent_is_responsive_until_a_frame_is_late(
        self, fields, elapsed_s, responsive
    ):
        agent = await _register_agent(AgentRegistry(), last_received_at=0, **fields)
        assert agent.is_responsive(elapsed_s, 1.5, 0.75) == responsive

    async def test_an_agent_is_not_watched_at_first_on_a_new_link(self):
        registry = AgentRegistry()
        agent = await _register_agent(registry, last_received_at=0, watched=True)
        assert registry.register_link(IDENTITY, FakeLink()) is agent
        assert not agent.watched
        assert agent.last_received_at > 0

    async def test_a_received_frame_clears_the_probe(self):
        agent = await _register_agent(AgentRegistry(), last_received_at=0, probed_at=0)
        agent.reset_silence(1)
        assert not agent.is_overdue(99, SILENCE_TIMEOUT_S)

    async def test_silence_timeouts_restart_after_a_pause_of_the_entry(self):
        registry = AgentRegistry()
        agent = await _register_agent(registry, last_received_at=-99, watched=True)
        registry.reset_silence()
        now = asyncio.get_running_loop().time()
        assert not agent.is_overdue(now, SILENCE_TIMEOUT_S)

    async def test_a_removed_agent_gets_no_broadcasts(self):
        registry = AgentRegistry()
        agent = await _register_agent(registry, watched=True)
        registry.remove(agent.identity.incarnation)
        registry.broadcast_to_watched('news')
        assert not agent.link.posted
