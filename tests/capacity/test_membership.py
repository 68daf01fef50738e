"""Tests membership with more entries than receive the heartbeats of an agent.

An agent sends heartbeats to two entries; the others learn its state from these.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest
from endivetally.capacity.fleets import running_fleet

ENTRIES = 6
IDLE_S = 5


async def _read_agent_states(fleet):
    statuses = [await fleet.client.fetch_status(entry.url) for entry in fleet.entries]
    return [
        {target.agent: target.state for target in status.targets} for status in statuses
    ]


async def _wait_at_every_entry(fleet, agent, accept):
    async with asyncio.timeout(30):
        while not all(
            accept(states.get(agent)) for states in await _read_agent_states(fleet)
        ):
            await asyncio.sleep(0.1)


@asynccontextmanager
async def _fleet():
    async with running_fleet(ENTRIES, workers=2) as fleet:
        yield fleet


class TestAgents:
    async def test_idle_agents_stay_open_at_every_entry(self):
        async with _fleet() as fleet:
            await asyncio.sleep(IDLE_S)
            assert (
                await _read_agent_states(fleet)
                == [
                    {'agent-1': 'open', 'agent-2': 'open'},
                ]
                * ENTRIES
            )
            for entry in fleet.entries:
                assert '"state": "silent"' not in entry.log

    async def test_a_frozen_agent_is_silent_at_every_entry_until_it_wakes(self):
        async with _fleet() as fleet:
            agent = fleet.get_process('agent-1')
            agent.freeze()
            await _wait_at_every_entry(
                fleet, 'agent-1', lambda state: state == 'silent'
            )
            agent.thaw()
            await _wait_at_every_entry(fleet, 'agent-1', lambda state: state == 'open')


class TestEntries:
    @pytest.mark.parametrize('name', ['entry-1', 'entry-6'])
    async def test_a_frozen_entry_leaves_the_agents_open_at_the_others(self, name):
        async with _fleet() as fleet:
            frozen = fleet.get_process(name)
            frozen.freeze()
            await asyncio.sleep(IDLE_S)
            others = [entry for entry in fleet.entries if entry.name != name]
            for entry in others:
                status = await fleet.client.fetch_status(entry.url)
                assert [target.state for target in status.targets] == ['open', 'open']
            frozen.thaw()
