"""Tests of the silence of agents, as one entry judges it."""

import asyncio

import pytest
from endivetally_core.joining import AgentIdentity
from endivetally_entry.agent_registry import AgentRoster

SILENCE_S = 3
IDENTITY = AgentIdentity('a-1', 'a-1.x', 'dc-1', 'rack-1', 'lookups', 8, 64, 1000)


class FakeLink:
    def __init__(self):
        self.posted = []

    def post(self, message):
        self.posted.append(message)

    def close(self):
        """Holds nothing."""


async def _agent(roster, **fields):
    known = roster.link_opened(IDENTITY, FakeLink())
    for name, value in fields.items():
        setattr(known, name, value)
    return known


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
    async def test_an_agent_is_overdue_only_where_it_had_to_be_heard(
        self, fields, elapsed_s, overdue
    ):
        known = await _agent(AgentRoster(), heard_at=0, **fields)
        assert known.is_overdue(elapsed_s, SILENCE_S) == overdue

    @pytest.mark.parametrize(
        ('fields', 'elapsed_s', 'answers'),
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
    async def test_an_agent_answers_until_an_answer_is_late(
        self, fields, elapsed_s, answers
    ):
        known = await _agent(AgentRoster(), heard_at=0, **fields)
        assert known.answers(elapsed_s, 1.5, 0.75) == answers

    async def test_a_new_link_begins_without_a_watch(self):
        roster = AgentRoster()
        known = await _agent(roster, heard_at=0, watched=True)
        assert roster.link_opened(IDENTITY, FakeLink()) is known
        assert not known.watched
        assert known.heard_at > 0

    async def test_a_frame_answers_a_probe(self):
        known = await _agent(AgentRoster(), heard_at=0, probed_at=0)
        known.heard(1)
        assert not known.is_overdue(99, SILENCE_S)

    async def test_silence_is_forgiven_after_a_pause_of_the_entry(self):
        roster = AgentRoster()
        known = await _agent(roster, heard_at=-99, watched=True)
        roster.restart_silence()
        now = asyncio.get_running_loop().time()
        assert not known.is_overdue(now, SILENCE_S)

    async def test_a_lost_agent_is_forgotten(self):
        roster = AgentRoster()
        known = await _agent(roster, watched=True)
        roster.forget(known.identity.incarnation)
        roster.broadcast_to_watched('news')
        assert not known.link.posted
