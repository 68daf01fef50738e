"""Tests of the journal: group commit, lost answers, fences, outages."""

import asyncio

import pytest
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import RequestError
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalRecord
from endivetally_table.batches import delete_journal
from endivetally_table.batches import iterate_journal
from endivetally_table.batches import read_journal
from endivetally_table.directory import ShardDirectory
from endivetally_table.entries import EntryRegistry
from endivetally_table.journal import Journal
from endivetally_table.journal_index import JournalIndex
from endivetally_table.journal_index import possible_agents
from endivetally_table.memory import MemoryTable


def identity(name):
    return EntryIdentity(name, f'{name}.1', 'dc-1', Address('127.0.0.1', 1))


ALPHA = identity('alpha')
BETA = identity('beta')


def entry(sequence, written_at=0):
    return JournalRecord(sequence, 'team', 'sweep', f'k{sequence}', b'', 1, written_at)


@pytest.fixture
async def table():
    table = MemoryTable()
    registry = EntryRegistry(table)
    await registry.register(ALPHA)
    await registry.register(BETA)
    return table


@pytest.fixture
async def journal(table):
    journal = Journal(table, ALPHA, probe_interval_s=0.001)
    yield journal
    journal.close()


async def recorded(table):
    batches = await read_journal(table, ALPHA.incarnation)
    return [[row.sequence for row in batch.records] for batch in batches]


async def record_all(journal, *sequences):
    calls = [journal.append_record(entry(sequence)) for sequence in sequences]
    return await asyncio.gather(*calls, return_exceptions=True)


async def until(reached):
    for _turn in range(1000):
        if reached():
            return
        await asyncio.sleep(0.001)
    pytest.fail('not reached')


async def fence_alpha(table):
    directory = ShardDirectory(table, retention_s=900)
    return await directory.take_over(ALPHA.incarnation, BETA)


class TestGroupCommit:
    async def test_idle_writes_at_once(self, table, journal):
        await journal.append_record(entry(0))
        assert await recorded(table) == [[0]]

    async def test_what_waits_shares_the_next_write(self, table, journal):
        first = asyncio.create_task(journal.append_record(entry(0)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await asyncio.gather(first, record_all(journal, 1, 2, 3))
        assert await recorded(table) == [[0], [1, 2, 3]]

    async def test_batches_are_bounded(self, table, journal):
        await record_all(journal, *range(300))
        assert [len(batch) for batch in await recorded(table)] == [256, 44]


class TestLostAnswers:
    @pytest.mark.parametrize('fault', ['lose_answers', 'late_commits'])
    async def test_recorded_once(self, table, journal, fault):
        setattr(table.faults, fault, 1)
        await journal.append_record(entry(0))
        table.deliver_late_commits()
        assert await recorded(table) == [[0]]
        assert journal.read_backs == 1

    async def test_given_up_write_burns_its_number(self, table, journal):
        table.faults.late_commits = 3
        (error,) = await record_all(journal, 0)
        assert (error.kind, error.ran) == (
            ErrorKind.PLATFORM_UNAVAILABLE,
            ExecutionState.NOT_RUN,
        )
        await until(lambda: journal.available)
        await journal.append_record(entry(1))
        table.deliver_late_commits()
        assert await recorded(table) == [[0], [1]]


class TestFlush:
    async def test_waits_for_what_was_recorded_before(self, table, journal):
        calls = [
            asyncio.create_task(journal.append_record(entry(row))) for row in (0, 1)
        ]
        await asyncio.sleep(0)
        await journal.flush()
        assert await recorded(table) == [[0, 1]]
        await asyncio.gather(*calls)


class TestFence:
    async def test_nothing_lands_after_the_fence(self, table, journal):
        await journal.append_record(entry(0))
        await fence_alpha(table)
        with pytest.raises(IncarnationFenced):
            await journal.append_record(entry(1))
        with pytest.raises(IncarnationFenced):
            await journal.admit_agents(frozenset({'agent.1'}))
        with pytest.raises(IncarnationFenced):
            await journal.prune(older_than=1)
        assert await recorded(table) == [[0]]

    async def test_late_write_does_not_land_after_takeover(self, table, journal):
        table.faults.late_commits = 3
        await record_all(journal, 0)
        outcome = await fence_alpha(table)
        assert outcome.won
        assert table.deliver_late_commits() == 0
        assert await recorded(table) == []

    async def test_write_before_the_fence_is_recorded(self, table, journal):
        await journal.append_record(entry(0))
        await fence_alpha(table)
        assert await recorded(table) == [[0]]


class TestOutage:
    async def test_all_are_refused_at_once_until_the_probe_works(self, table, journal):
        table.faults.down = True
        errors = await record_all(journal, 0, 1)
        errors += await record_all(journal, 2)
        assert {error.kind for error in errors} == {ErrorKind.PLATFORM_UNAVAILABLE}
        assert journal.counters.refused == 3
        table.faults.down = False
        await until(lambda: journal.available)
        await journal.append_record(entry(3))
        assert await recorded(table) == [[3]]

    async def test_slow_write_is_given_up(self, table):
        journal = Journal(table, ALPHA, write_timeout_s=0.001)
        table.faults.slow_ms = 60_000
        (error,) = await record_all(journal, 0)
        assert error.ran is ExecutionState.NOT_RUN
        assert not journal.available
        journal.close()

    async def test_probe_finds_the_fence(self, table, journal):
        table.faults.down = True
        await record_all(journal, 0)
        table.faults.down = False
        await fence_alpha(table)
        await until(lambda: journal.fenced)
        with pytest.raises(IncarnationFenced):
            await journal.append_record(entry(1))

    async def test_failed_writer_refuses_what_waits(self, table, journal):
        async def fail(_transaction):
            raise RuntimeError('client is closed')

        table.commit = fail
        errors = await record_all(journal, 0, 1)
        assert {error.kind for error in errors} == {ErrorKind.PLATFORM_UNAVAILABLE}
        assert not journal.available

    async def test_close_refuses_what_waits(self, journal):
        call = asyncio.create_task(journal.append_record(entry(0)))
        await asyncio.sleep(0)
        journal.close()
        with pytest.raises(RequestError):
            await call


class TestAgents:
    async def test_admitted_once_durable(self, table, journal):
        call = asyncio.create_task(journal.admit_agents(frozenset({'agent.1'})))
        await asyncio.sleep(0)
        assert not journal.admitted_agents
        await call
        assert journal.admitted_agents == {'agent.1'}

    async def test_release_during_the_write_wins(self, table, journal):
        call = asyncio.create_task(journal.admit_agents(frozenset({'agent.1'})))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        journal.remove_agents(frozenset({'agent.1'}))
        await call
        assert not journal.admitted_agents

    async def test_release_survives_an_outage(self, table, journal):
        await journal.admit_agents(frozenset({'agent.1'}))
        table.faults.down = True
        journal.remove_agents(frozenset({'agent.1'}))
        await record_all(journal, 0)
        table.faults.down = False
        await until(lambda: journal.available)
        await journal.append_record(entry(1))
        batches = await read_journal(table, ALPHA.incarnation)
        assert batches[-1].agents_removed == ('agent.1',)

    @pytest.mark.parametrize(
        ('sequence', 'agents'),
        [(0, {'a', 'b', 'c'}), (1, {'b', 'c'}), (2, {'b', 'c'}), (9, set())],
    )
    def test_in_use(self, sequence, agents):
        batches = [
            JournalBatch((), ('a',), (), '0'),
            JournalBatch((entry(0),), (), (), '1'),
            JournalBatch((), ('b',), ('a',), '2'),
            JournalBatch((entry(1),), (), (), '3'),
            JournalBatch((entry(2),), ('c',), ('b',), '4'),
        ]
        assert possible_agents(batches, sequence) == agents


class TestHistory:
    async def test_finds_all_requests_of_a_key_across_pages(self, table, journal):
        for sequence in range(600):
            key = f'k{sequence % 300}'
            row = JournalRecord(sequence, 'team', 'sweep', key, b'', 1, 0)
            await journal.append_record(row)
        batches = iterate_journal(table, ALPHA.incarnation)
        history = await JournalIndex.build(batches, lambda row: row.key == 'k7')
        assert [row.sequence for row in history.find_records('team', 'k7')] == [7, 307]
        assert history.find_records('other', 'k7') == ()
        assert len(list(history.records)) == 2


class TestPrune:
    async def test_keeps_agents_and_young_entries(self, table, journal):
        await journal.admit_agents(frozenset({'a', 'b'}))
        await journal.append_record(entry(0, written_at=10))
        journal.remove_agents(frozenset({'a'}))
        await journal.append_record(entry(1, written_at=20))
        assert await journal.prune(20) == 0
        assert await journal.prune(21) == 2
        await journal.append_record(entry(2, written_at=30))
        batches = await read_journal(table, ALPHA.incarnation)
        assert [len(batch.records) for batch in batches] == [0, 1]
        assert possible_agents(batches, 2) == {'b'}
        assert await journal.prune(31) == 1
        batches = await read_journal(table, ALPHA.incarnation)
        assert [batch.agents_admitted for batch in batches] == [('b',)]

    async def test_journal_of_an_ended_entry_is_deleted(self, table, journal):
        await journal.append_record(entry(0))
        await fence_alpha(table)
        assert await delete_journal(table, ALPHA.incarnation) == 1
        assert await recorded(table) == []
