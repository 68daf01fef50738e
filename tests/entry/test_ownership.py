"""Tests of the release of shards and of what former owners did."""

import pytest
from endivetally_core.errors import TableUnavailable
from endivetally_core.identifiers import shard_of
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Outcome
from endivetally_core.messages import Recall
from endivetally_core.messages import Recalled
from endivetally_entry.ownership import Ownership
from endivetally_entry.recovery import FormerRequest
from endivetally_entry.recovery import Recovery
from endivetally_entry.requests import KeyName
from endivetally_table.directory import ShardDirectory
from endivetally_table.entries import EntryRegistry
from endivetally_table.memory import MemoryTable
from endivetally_table.shards import SHARD_COUNT
from entry.parts import AGENT
from entry.parts import Dispatching
from entry.parts import identity
from entry.parts import request


class FailingTable(MemoryTable):
    """Fails once a commit has lost its answer, as a table that goes down."""

    async def commit(self, transaction):
        try:
            await super().commit(transaction)
        except TableUnavailable:
            self.faults.down = True
            raise


class IdleJournal:
    """A journal with nothing to write."""

    async def flush(self):
        """Return at once."""


async def _owner(table):
    registry = EntryRegistry(table)
    for name in ('entry-1', 'entry-2'):
        await registry.register(identity(name))
    directory = ShardDirectory(table, retention_s=900)
    recovery = Recovery(table, registry, Dispatching().roster, 900)
    ownership = Ownership(identity(), directory, recovery, IdleJournal())
    await ownership.start()
    return ownership, directory


def _misplaced_name(directory):
    moves = directory.shard_map.plan_rebalancing(
        'entry-1.1', ['entry-1.1', 'entry-2.1']
    )
    shards = {shard for move in moves for shard in move.shards}
    names = (KeyName('clerks', 'sweeps', f'k{number}') for number in range(1000))
    return next(
        name for name in names if shard_of(name.team, name.key, SHARD_COUNT) in shards
    )


class TestRelease:
    @pytest.mark.parametrize('fault', ['lose_answers', 'late_commits'])
    @pytest.mark.parametrize('linked', [['entry-2.1'], []])
    async def test_an_undecided_release_admits_nothing_until_settled(
        self, fault, linked
    ):
        table = FailingTable()
        ownership, directory = await _owner(table)
        name = _misplaced_name(directory)
        setattr(table.faults, fault, 1)
        with pytest.raises(TableUnavailable):
            await ownership.release_misplaced(['entry-2.1'])
        table.faults.down = False
        assert not ownership.owns(name)
        await ownership.release_misplaced(linked)
        table.deliver_late_commits()
        told = ownership.owns(name)
        await ownership.refresh()
        assert ownership.owns(name) is told
        released = bool(linked) or fault == 'lose_answers'
        assert told is not released


class KnownRecovery(Recovery):
    """Knows one former request."""

    def former_requests(self, name):
        agents = frozenset({AGENT.incarnation})
        return [FormerRequest('entry-9.1', 7, request().body_hash, agents)]


class TestRecall:
    async def test_an_outcome_right_behind_the_report_counts(self):
        parts, table = Dispatching(), MemoryTable()
        recovery = KnownRecovery(table, EntryRegistry(table), parts.roster, 900)
        name = AttemptId('entry-9.1', 7, 0, 0)
        post = parts.link.post

        def answer(message):
            post(message)
            if isinstance(message, Recall):
                running = [Outcome(name, 'running')]
                recovery.recalled(Recalled(message.recall_id, running))
                assert recovery.outcome_received(Outcome(name, 'done', body=b'1'))

        parts.link.post = answer
        assert await recovery.results_of_former_owners(request()) == {0: b'1'}
