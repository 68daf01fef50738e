"""Tests of the journal: group commit, lost responses, fencing, outages, agents."""

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
from endivetally_table.journal_index import find_possible_agents
from endivetally_table.memory import MemoryTable


def create_identity(name):
    return EntryIdentity(name, f'{name}.1', 'dc-1', Address('127.0.0.1', 1))


ALPHA = create_identity('alpha')
BETA = create_identity('beta')


def create_record(sequence, written_at=0):
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


async def read_sequences(table):
    batches = await read_journal(table, ALPHA.incarnation)
    return [[record.sequence for record in batch.records] for batch in batches]


async def append_all(journal, *sequences):
    calls = [journal.append_record(create_record(sequence)) for sequence in sequences]
    return await asyncio.gather(*calls, return_exceptions=True)


async def wait_until(condition):
    for _attempt in range(1000):
        if condition():
            return
        await asyncio.sleep(0.001)
    pytest.fail('condition did not become true')


async def fence_alpha(table):
    directory = ShardDirectory(table, retention_s=900)
    return await directory.take_over(ALPHA.incarnation, BETA)


class TestGroupCommit:
    async def test_an_idle_journal_writes_a_record_at_once(self, table, journal):
        await journal.append_record(create_record(0))
        assert await read_sequences(table) == [[0]]

    async def test_records_that_wait_for_a_write_share_the_next_one(
        self, table, journal
    ):
        first = asyncio.create_task(journal.append_record(create_record(0)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await asyncio.gather(first, append_all(journal, 1, 2, 3))
        assert await read_sequences(table) == [[0], [1, 2, 3]]

    async def test_a_batch_holds_at_most_256_records(self, table, journal):
        await append_all(journal, *range(300))
        assert [len(batch) for batch in await read_sequences(table)] == [256, 44]


class TestLostResponses:
    @pytest.mark.parametrize('fault', ['lose_answers', 'late_commits'])
    async def test_a_record_whose_response_was_lost_is_written_once(
        self, table, journal, fault
    ):
        setattr(table.faults, fault, 1)
        await journal.append_record(create_record(0))
        table.deliver_late_commits()
        assert await read_sequences(table) == [[0]]
        assert journal.read_backs == 1

    async def test_the_number_of_an_abandoned_write_is_not_used_again(
        self, table, journal
    ):
        table.faults.late_commits = 3
        (error,) = await append_all(journal, 0)
        assert (error.kind, error.execution_state) == (
            ErrorKind.PLATFORM_UNAVAILABLE,
            ExecutionState.NOT_RUN,
        )
        await wait_until(lambda: journal.available)
        await journal.append_record(create_record(1))
        table.deliver_late_commits()
        assert await read_sequences(table) == [[0], [1]]


class TestFlush:
    async def test_flush_waits_for_the_records_appended_before(self, table, journal):
        calls = [
            asyncio.create_task(journal.append_record(create_record(sequence)))
            for sequence in (0, 1)
        ]
        await asyncio.sleep(0)
        await journal.flush()
        assert await read_sequences(table) == [[0, 1]]
        await asyncio.gather(*calls)


class TestFencing:
    async def test_a_fenced_journal_writes_nothing(self, table, journal):
        await journal.append_record(create_record(0))
        await fence_alpha(table)
        with pytest.raises(IncarnationFenced):
            await journal.append_record(create_record(1))
        with pytest.raises(IncarnationFenced):
            await journal.admit_agents(frozenset({'agent.1'}))
        with pytest.raises(IncarnationFenced):
            await journal.prune(older_than=1)
        assert await read_sequences(table) == [[0]]

    async def test_a_delayed_write_is_not_applied_after_a_takeover(
        self, table, journal
    ):
        table.faults.late_commits = 3
        await append_all(journal, 0)
        outcome = await fence_alpha(table)
        assert outcome.won
        assert table.deliver_late_commits() == 0
        assert await read_sequences(table) == []

    async def test_a_write_before_the_takeover_is_kept(self, table, journal):
        await journal.append_record(create_record(0))
        await fence_alpha(table)
        assert await read_sequences(table) == [[0]]


class TestOutage:
    async def test_records_are_refused_until_a_probe_succeeds(self, table, journal):
        table.faults.down = True
        errors = await append_all(journal, 0, 1)
        errors += await append_all(journal, 2)
        assert {error.kind for error in errors} == {ErrorKind.PLATFORM_UNAVAILABLE}
        assert journal.counters.refused_records == 3
        table.faults.down = False
        await wait_until(lambda: journal.available)
        await journal.append_record(create_record(3))
        assert await read_sequences(table) == [[3]]

    async def test_a_write_that_times_out_is_refused_as_not_run(self, table):
        journal = Journal(table, ALPHA, write_timeout_s=0.001)
        table.faults.slow_ms = 60_000
        (error,) = await append_all(journal, 0)
        assert error.execution_state is ExecutionState.NOT_RUN
        assert not journal.available
        journal.close()

    async def test_a_probe_detects_that_the_entry_is_fenced(self, table, journal):
        table.faults.down = True
        await append_all(journal, 0)
        table.faults.down = False
        await fence_alpha(table)
        await wait_until(lambda: journal.fenced)
        with pytest.raises(IncarnationFenced):
            await journal.append_record(create_record(1))

    async def test_a_failure_of_the_writer_refuses_the_pending_records(
        self, table, journal
    ):
        async def fail(_transaction):
            raise RuntimeError('client is closed')

        table.commit = fail
        errors = await append_all(journal, 0, 1)
        assert {error.kind for error in errors} == {ErrorKind.PLATFORM_UNAVAILABLE}
        assert not journal.available

    async def test_closing_refuses_the_pending_records(self, journal):
        call = asyncio.create_task(journal.append_record(create_record(0)))
        await asyncio.sleep(0)
        journal.close()
        with pytest.raises(RequestError):
            await call


class TestAgents:
    async def test_agents_are_admitted_only_once_that_is_durable(self, table, journal):
        call = asyncio.create_task(journal.admit_agents(frozenset({'agent.1'})))
        await asyncio.sleep(0)
        assert not journal.admitted_agents
        await call
        assert journal.admitted_agents == {'agent.1'}

    async def test_an_agent_removed_during_its_admission_is_not_admitted(
        self, table, journal
    ):
        call = asyncio.create_task(journal.admit_agents(frozenset({'agent.1'})))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        journal.remove_agents(frozenset({'agent.1'}))
        await call
        assert not journal.admitted_agents

    async def test_a_removal_during_an_outage_is_written_afterwards(
        self, table, journal
    ):
        await journal.admit_agents(frozenset({'agent.1'}))
        table.faults.down = True
        journal.remove_agents(frozenset({'agent.1'}))
        await append_all(journal, 0)
        table.faults.down = False
        await wait_until(lambda: journal.available)
        await journal.append_record(create_record(1))
        batches = await read_journal(table, ALPHA.incarnation)
        assert batches[-1].agents_removed == ('agent.1',)

    @pytest.mark.parametrize(
        ('sequence', 'agents'),
        [(0, {'a', 'b', 'c'}), (1, {'b', 'c'}), (2, {'b', 'c'}), (9, set())],
    )
    def test_possible_agents_are_those_admitted_at_the_batch_or_later(
        self, sequence, agents
    ):
        batches = [
            JournalBatch((), ('a',), (), '0'),
            JournalBatch((create_record(0),), (), (), '1'),
            JournalBatch((), ('b',), ('a',), '2'),
            JournalBatch((create_record(1),), (), (), '3'),
            JournalBatch((create_record(2),), ('c',), ('b',), '4'),
        ]
        assert find_possible_agents(batches, sequence) == agents


class TestJournalIndex:
    async def test_finds_all_kept_records_of_a_key_across_pages(self, table, journal):
        for sequence in range(600):
            key = f'k{sequence % 300}'
            record = JournalRecord(sequence, 'team', 'sweep', key, b'', 1, 0)
            await journal.append_record(record)
        batches = iterate_journal(table, ALPHA.incarnation)
        index = await JournalIndex.build(batches, lambda record: record.key == 'k7')
        assert [record.sequence for record in index.find_records('team', 'k7')] == [
            7,
            307,
        ]
        assert index.find_records('other', 'k7') == ()
        assert len(list(index.records)) == 2


class TestPrune:
    async def test_pruning_keeps_admitted_agents_and_newer_records(
        self, table, journal
    ):
        await journal.admit_agents(frozenset({'a', 'b'}))
        await journal.append_record(create_record(0, written_at=10))
        journal.remove_agents(frozenset({'a'}))
        await journal.append_record(create_record(1, written_at=20))
        assert await journal.prune(20) == 0
        assert await journal.prune(21) == 2
        await journal.append_record(create_record(2, written_at=30))
        batches = await read_journal(table, ALPHA.incarnation)
        assert [len(batch.records) for batch in batches] == [0, 1]
        assert find_possible_agents(batches, 2) == {'b'}
        assert await journal.prune(31) == 1
        batches = await read_journal(table, ALPHA.incarnation)
        assert [batch.agents_admitted for batch in batches] == [('b',)]

    async def test_the_journal_of_an_ended_entry_is_deleted(self, table, journal):
        await journal.append_record(create_record(0))
        await fence_alpha(table)
        assert await delete_journal(table, ALPHA.incarnation) == 1
        assert await read_sequences(table) == []
