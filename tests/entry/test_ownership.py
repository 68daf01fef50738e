"""Tests of the release of shards and of the recovery from former owners."""

import pytest
from endivetally_core.errors import TableUnavailable
from endivetally_core.identifiers import shard_of
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Outcome
from endivetally_core.messages import Recall
from endivetally_core.messages import Recalled
from endivetally_entry.ownership import ShardOwnership
from endivetally_entry.recovery import FormerRequest
from endivetally_entry.recovery import RequestRecovery
from endivetally_entry.requests import ScopedKey
from endivetally_table.directory import ShardDirectory
from endivetally_table.entries import EntryRegistry
from endivetally_table.memory import MemoryTable
from endivetally_table.shards import SHARD_COUNT
from entry.builders import AGENT
from entry.builders import DispatcherSetup
from entry.builders import identity
from entry.builders import request


class FailingTable(MemoryTable):
    """A table that becomes unavailable once a commit gets no response."""

    async def commit(self, transaction):
        try:
            await super().commit(transaction)
        except TableUnavailable:
            self.faults.down = True
            raise


class IdleJournal:
    """A journal with nothing to write."""

    async def flush(self):
        """Return at once, as nothing is queued."""


async def _start_owner(table):
    entry_registry = EntryRegistry(table)
    for name in ('entry-1', 'entry-2'):
        await entry_registry.register(identity(name))
    directory = ShardDirectory(table, retention_s=900)
    recovery = RequestRecovery(
        table, entry_registry, DispatcherSetup().agent_registry, 900
    )
    ownership = ShardOwnership(identity(), directory, recovery, IdleJournal())
    await ownership.start()
    return ownership, directory


def _find_misplaced_key(directory):
    moves = directory.shard_map.plan_rebalancing(
        'entry-1.1', ['entry-1.1', 'entry-2.1']
    )
    shards = {shard for move in moves for shard in move.shards}
    keys = (ScopedKey('clerks', 'sweeps', f'k{number}') for number in range(1000))
    return next(
        scoped_key
        for scoped_key in keys
        if shard_of(scoped_key.team, scoped_key.key, SHARD_COUNT) in shards
    )


class TestRelease:
    @pytest.mark.parametrize('fault', ['lose_answers', 'late_commits'])
    @pytest.mark.parametrize('linked', [['entry-2.1'], []])
    async def test_a_shard_is_not_owned_while_the_result_of_its_release_is_unknown(
        self, fault, linked
    ):
        table = FailingTable()
        ownership, directory = await _start_owner(table)
        scoped_key = _find_misplaced_key(directory)
        setattr(table.faults, fault, 1)
        with pytest.raises(TableUnavailable):
            await ownership.release_misplaced_shards(['entry-2.1'])
        table.faults.down = False
        assert not ownership.owns(scoped_key)
        await ownership.release_misplaced_shards(linked)
        table.deliver_late_commits()
        still_owned = ownership.owns(scoped_key)
        await ownership.refresh()
        assert ownership.owns(scoped_key) is still_owned
        released = bool(linked) or fault == 'lose_answers'
        assert still_owned is not released


class OneRequestRecovery(RequestRecovery):
    """A recovery that finds one request of a former owner."""

    def find_former_requests(self, scoped_key):
        agents = frozenset({AGENT.incarnation})
        return [FormerRequest('entry-9.1', 7, request().body_hash, agents)]


class TestRecall:
    async def test_an_outcome_directly_after_the_report_is_used(self):
        setup, table = DispatcherSetup(), MemoryTable()
        recovery = OneRequestRecovery(
            table, EntryRegistry(table), setup.agent_registry, 900
        )
        attempt_id = AttemptId('entry-9.1', 7, 0, 0)
        post = setup.link.post

        def post_and_report(message):
            post(message)
            if isinstance(message, Recall):
                running = [Outcome(attempt_id, 'running')]
                recovery.handle_recall_report(Recalled(message.recall_id, running))
                assert recovery.handle_recalled_outcome(
                    Outcome(attempt_id, 'done', body=b'1')
                )

        setup.link.post = post_and_report
        assert await recovery.recover_results(request()) == {0: b'1'}
