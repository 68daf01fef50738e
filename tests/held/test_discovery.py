"""Selection of the agents that an entry connects to, and the watching of rows."""

import asyncio

import msgspec
import pytest
from differential.clock import run_virtually
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.identifiers import rank_by_rendezvous
from endivetally_core.joining import Address
from endivetally_held import discovery
from endivetally_held.discovery import CHECK_INTERVAL_S
from endivetally_held.discovery import CHECK_JITTER
from endivetally_held.discovery import CHECKS_PER_READ
from endivetally_held.discovery import ENTRIES_PER_AGENT
from endivetally_held.discovery import STALE_AFTER_S
from endivetally_held.discovery import AgentRow
from endivetally_held.discovery import AgentSelector
from endivetally_held.discovery import EntryRow
from endivetally_held.discovery import RowWatcher
from endivetally_held.discovery import keep_agent_registered
from endivetally_held.discovery import register
from endivetally_table.memory_feed import MemoryFeedTable
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Transaction


def create_event_log():
    return EventLog('test', 'test', write=lambda lines: None)


def agent_row(number):
    address = Address(f'10.0.0.{number}', 7720)
    row = AgentRow(f'agent-{number}', 'incarnation', 'dc', address)
    return Row(f'agents/{address}', msgspec.json.encode(row), 1)


def entry_row(number, version=1):
    row = EntryRow(f'entry-{number}', 'incarnation', 0)
    return Row(f'entries/entry-{number}', msgspec.json.encode(row), version)


def create_rows(agents, entries):
    rows = [*map(agent_row, range(agents)), *map(entry_row, range(entries))]
    return {row.key: row for row in rows}


def create_selector(number=0, clock=lambda: 0):
    return AgentSelector(f'entry-{number}', create_event_log(), clock)


@pytest.mark.parametrize(
    ('agents', 'entries'), [(1, 1), (11, 3), (61, 10), (70, 12), (255, 45)]
)
def test_each_agent_is_selected_by_a_fixed_number_of_entries(agents, entries):
    rows = create_rows(agents, entries)
    selected = [create_selector(number).select(rows) for number in range(entries)]
    connections = [address for each in selected for address in each]
    entries_per_agent = min(ENTRIES_PER_AGENT, entries)
    assert len(connections) == agents * entries_per_agent
    assert len(set(connections)) == agents
    # No entry connects to more than twice its share of agents.
    assert max(map(len, selected)) <= 2 * agents * entries_per_agent / entries


def test_renewed_rows_of_entries_rank_no_agent_again(monkeypatch):
    ranked = []

    def rank(subject, names):
        ranked.append(subject)
        return rank_by_rendezvous(subject, names)

    monkeypatch.setattr(discovery, 'rank_by_rendezvous', rank)
    selector = create_selector()
    rows = create_rows(160, 35)
    selected = selector.select(rows)
    assert len(ranked) == 160
    for row in (entry_row(3, version=2), agent_row(200)):
        rows[row.key] = row
        selector.select(rows)
    assert ranked[160:] == ['10.0.0.200:7720']
    del rows['entries/entry-3']
    assert len(selector.select(rows)) >= len(selected)
    assert len(ranked) == 161 + 161


def test_entry_whose_row_is_not_renewed_is_ignored():
    now = [0.0]
    selector = create_selector(clock=lambda: now[0])
    rows = create_rows(20, 8)
    selected_before = selector.select(rows)
    now[0] = STALE_AFTER_S + 1
    for number in range(4):
        row = entry_row(number, version=2)
        rows[row.key] = row
    assert len(selected_before) < 20
    assert len(selector.select(rows)) == 20


@pytest.mark.parametrize(
    'content', [b'\xff', b'{}', b'[]', b'{"name": 3}', b'[' * 200_000]
)
def test_malformed_agent_rows_are_ignored(content):
    rows = create_rows(2, 1)
    rows['agents/malformed'] = Row('agents/malformed', content, 1)
    assert len(create_selector().select(rows)) == 2


def run_with_watcher(scenario):
    """Run a scenario with a table, its watcher, and the keys that it reports."""

    async def run():
        table = MemoryFeedTable()
        key_lists = []
        watcher = RowWatcher(
            table,
            'agents/',
            lambda rows: key_lists.append(sorted(rows)),
            create_event_log(),
        )
        watch_task = asyncio.ensure_future(watcher.run())
        await scenario(table, key_lists, watcher)
        watch_task.cancel()

    run_virtually(run())


class InterruptedTable(MemoryFeedTable):
    """A table whose feed sends nothing while ``connected`` is not set."""

    def __init__(self):
        super().__init__()
        self.connected = asyncio.Event()

    async def wait_for_changes(self, after, wait_s):
        changes = await super().wait_for_changes(after, wait_s)
        if self.connected.is_set():
            return changes
        await self.connected.wait()
        return await super().wait_for_changes(after, wait_s)


WRITTEN = (agent_row(1), agent_row(2), entry_row(1))


@pytest.mark.parametrize('changed', WRITTEN, ids=lambda row: row.key)
@pytest.mark.parametrize(
    'steps',
    [
        ('delete', 'write'),
        ('write', 'delete'),
        ('delete', 'write', 'delete'),
        ('write', 'delete', 'write'),
    ],
    ids='-'.join,
)
def test_last_of_several_changes_in_one_answer_of_the_feed_counts(changed, steps):
    """A row that came back was lost until it was written again."""

    async def run():
        table = InterruptedTable()
        await put_rows(table, WRITTEN)
        copies = []
        watcher = RowWatcher(
            table, '', lambda rows: copies.append(dict(rows)), create_event_log()
        )
        watching = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(0.1)
        for step in steps:
            await put_rows(table, [changed], deleted=step == 'delete')
        table.connected.set()
        await asyncio.sleep(0.1)
        assert len(copies) == 2
        expected = {row.key for row in WRITTEN}
        if steps[-1] == 'delete':
            expected.remove(changed.key)
        assert copies[-1].keys() == expected
        selected = create_selector().select(copies[-1])
        assert len(selected) == sum(key.startswith('agents/') for key in expected)
        watching.cancel()

    run_virtually(run())


async def put_rows(table, rows, *, deleted=False):
    puts = tuple(Put(row.key, None if deleted else row.content) for row in rows)
    await table.commit(Transaction((), puts))


def register_agent(table, number):
    row = msgspec.json.decode(agent_row(number).content, type=AgentRow)
    return register(table, f'agents/{row.address}', row, create_event_log())


def test_new_rows_are_reported():
    async def scenario(table, key_lists, watcher):
        await register_agent(table, 1)
        await asyncio.sleep(0.01)
        assert key_lists[-1] == ['agents/10.0.0.1:7720']
        await register_agent(table, 2)
        await asyncio.sleep(0.01)
        assert len(key_lists[-1]) == 2
        assert watcher.available

    run_with_watcher(scenario)


def test_a_failed_first_read_is_logged_once():
    async def run():
        events = create_event_log()
        table = MemoryFeedTable()
        table.faults.down = True
        watcher = RowWatcher(table, 'agents/', lambda rows: None, events)
        watch_task = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(10)
        assert events.event_counts[Event.TABLE_UNAVAILABLE] == 1
        table.faults.down = False
        await asyncio.sleep(2)
        assert events.event_counts[Event.TABLE_AVAILABLE] == 1
        watch_task.cancel()

    run_virtually(run())


def test_rows_are_up_to_date_two_seconds_after_an_outage():
    async def scenario(table, key_lists, watcher):
        await register_agent(table, 1)
        await asyncio.sleep(1)
        table.faults.down = True
        await asyncio.sleep(20)
        assert not watcher.available
        assert key_lists[-1] == ['agents/10.0.0.1:7720']
        table.faults.down = False
        await register_agent(table, 2)
        await asyncio.sleep(2)
        assert len(key_lists[-1]) == 2

    run_with_watcher(scenario)


def test_rows_are_read_again_when_the_change_history_is_lost():
    async def scenario(table, key_lists, watcher):
        await register_agent(table, 1)
        await asyncio.sleep(1)
        await register_agent(table, 2)
        table.discard_history()
        await asyncio.sleep(2)
        assert len(key_lists[-1]) == 2

    run_with_watcher(scenario)


def test_registration_is_retried_until_the_table_responds():
    async def scenario(table, key_lists, watcher):
        table.faults.down = True
        registration = asyncio.ensure_future(register_agent(table, 1))
        await asyncio.sleep(10)
        table.faults.down = False
        await asyncio.wait_for(registration, 2)

    run_with_watcher(scenario)


LONGEST_CHECK_S = CHECK_INTERVAL_S * CHECK_JITTER[1]
REPLACED = [None, b'[', agent_row(2).content]


def run_with_registration(scenario):
    """Run a scenario with a table, a set of connected entries and an event log."""

    async def run():
        table = MemoryFeedTable()
        connected = set()
        row = msgspec.json.decode(agent_row(1).content, type=AgentRow)
        events = create_event_log()
        registration = asyncio.ensure_future(
            keep_agent_registered(table, row, events, lambda: bool(connected))
        )
        await asyncio.sleep(1)
        await scenario(table, connected, events)
        registration.cancel()

    run_virtually(run())


async def replace_row(table, content):
    await table.commit(Transaction((), (Put(agent_row(1).key, content),)))


async def has_own_row(table):
    row = await table.read(agent_row(1).key)
    return row is not None and row.content == agent_row(1).content


@pytest.mark.parametrize('content', REPLACED)
def test_an_agent_without_an_entry_writes_its_row_again(content):
    """A row that another writer had replaced or deleted stayed so."""

    async def scenario(table, connected, events):
        for _ in range(3):
            await replace_row(table, content)
            await asyncio.sleep(LONGEST_CHECK_S)
            assert await has_own_row(table)

    run_with_registration(scenario)


@pytest.mark.parametrize('content', REPLACED)
def test_an_agent_finds_that_its_row_was_replaced(content):
    """Entries that started did not know it while another one was connected."""

    async def scenario(table, connected, events):
        connected.add('entry-1')
        for _ in range(3):
            await replace_row(table, content)
            await asyncio.sleep(LONGEST_CHECK_S * CHECKS_PER_READ)
            assert await has_own_row(table)

    run_with_registration(scenario)


@pytest.mark.parametrize('entries', [set(), {'entry-1'}])
def test_an_agent_whose_row_is_there_only_reads_it(entries):
    """Writes of all agents without an entry would use up the rate of the table."""

    async def scenario(table, connected, events):
        connected.update(entries)
        for table.faults.down in (False, True, False):
            await asyncio.sleep(12 * LONGEST_CHECK_S)
        assert events.event_counts[Event.ROW_WRITTEN] == 1
        # The shortest interval between checks is six tenths of the longest one.
        most = 36 / 0.6 / (CHECKS_PER_READ if entries else 1)
        assert 0 < table.stats.reads <= most

    run_with_registration(scenario)
