"""Which agents an entry links to, and how it follows the directory."""

import asyncio

import msgspec
import pytest
from differential.clock import run_virtually
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_held.discovery import ENTRIES_PER_AGENT
from endivetally_held.discovery import STALE_AFTER_S
from endivetally_held.discovery import AgentRow
from endivetally_held.discovery import AgentSelector
from endivetally_held.discovery import EntryRow
from endivetally_held.discovery import RowWatcher
from endivetally_held.discovery import register
from endivetally_table.memory_feed import MemoryFeedTable
from endivetally_table.table import Row


def silent_events():
    return EventLog('test', 'test', write=lambda lines: None)


def agent_row(number):
    address = Address(f'10.0.0.{number}', 7720)
    row = AgentRow(f'agent-{number}', 'life', 'dc', address)
    return Row(f'agents/{address}', msgspec.json.encode(row), 1)


def entry_row(number, version=1):
    row = EntryRow(f'entry-{number}', 'life', 0)
    return Row(f'entries/entry-{number}', msgspec.json.encode(row), version)


def rows_of(agents, entries):
    rows = [*map(agent_row, range(agents)), *map(entry_row, range(entries))]
    return {row.key: row for row in rows}


def directory(number=0, clock=lambda: 0):
    return AgentSelector(f'entry-{number}', silent_events(), clock)


@pytest.mark.parametrize(
    ('agents', 'entries'), [(1, 1), (11, 3), (61, 10), (70, 12), (255, 45)]
)
def test_each_agent_has_its_entries(agents, entries):
    rows = rows_of(agents, entries)
    chosen = [directory(number).select(rows) for number in range(entries)]
    links = [address for each in chosen for address in each]
    wanted = min(ENTRIES_PER_AGENT, entries)
    assert len(links) == agents * wanted
    assert len(set(links)) == agents
    # No entry watches more than twice its share.
    assert max(map(len, chosen)) <= 2 * agents * wanted / entries


def test_entry_that_is_not_renewed_is_passed_over():
    now = [0.0]
    watching = directory(clock=lambda: now[0])
    rows = rows_of(20, 8)
    before = watching.select(rows)
    now[0] = STALE_AFTER_S + 1
    for number in range(4):
        row = entry_row(number, version=2)
        rows[row.key] = row
    assert len(before) < 20
    assert len(watching.select(rows)) == 20


@pytest.mark.parametrize(
    'content', [b'\xff', b'{}', b'[]', b'{"name": 3}', b'[' * 200_000]
)
def test_rows_of_other_writers_name_no_agent(content):
    rows = rows_of(2, 1)
    rows['agents/odd'] = Row('agents/odd', content, 1)
    assert len(directory().select(rows)) == 2


def follow(scenario):
    async def run():
        table = MemoryFeedTable()
        seen = []
        follower = RowWatcher(
            table, 'agents/', lambda rows: seen.append(sorted(rows)), silent_events()
        )
        following = asyncio.ensure_future(follower.run())
        await scenario(table, seen, follower)
        following.cancel()

    run_virtually(run())


def write(table, number):
    row = msgspec.json.decode(agent_row(number).content, type=AgentRow)
    return register(table, f'agents/{row.address}', row, silent_events())


def test_rows_are_followed():
    async def scenario(table, seen, follower):
        await write(table, 1)
        await asyncio.sleep(0.01)
        assert seen[-1] == ['agents/10.0.0.1:7720']
        await write(table, 2)
        await asyncio.sleep(0.01)
        assert len(seen[-1]) == 2
        assert follower.available

    follow(scenario)


def test_rows_are_back_two_seconds_after_an_outage():
    async def scenario(table, seen, follower):
        await write(table, 1)
        await asyncio.sleep(1)
        table.faults.down = True
        await asyncio.sleep(20)
        assert not follower.available
        assert seen[-1] == ['agents/10.0.0.1:7720']
        table.faults.down = False
        await write(table, 2)
        await asyncio.sleep(2)
        assert len(seen[-1]) == 2

    follow(scenario)


def test_lost_history_is_read_again():
    async def scenario(table, seen, follower):
        await write(table, 1)
        await asyncio.sleep(1)
        await write(table, 2)
        table.forget_history()
        await asyncio.sleep(2)
        assert len(seen[-1]) == 2

    follow(scenario)


def test_announcement_is_repeated_until_the_table_answers():
    async def scenario(table, seen, follower):
        table.faults.down = True
        writing = asyncio.ensure_future(write(table, 1))
        await asyncio.sleep(10)
        table.faults.down = False
        await asyncio.wait_for(writing, 2)

    follow(scenario)
