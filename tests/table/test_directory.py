"""Tests of the entry registry and of changes of the shard map."""

import asyncio

import pytest
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_table.directory import ShardDirectory
from endivetally_table.entries import EntryRegistry
from endivetally_table.memory import MemoryTable
from endivetally_table.shards import SHARD_COUNT
from endivetally_table.shards import ShardMap
from endivetally_table.shards import ShardMove
from endivetally_table.table import Put
from endivetally_table.table import Transaction

NOW = 1000.0
NAMES = ('alpha', 'beta', 'gamma')
ALPHA, BETA, GAMMA = (
    EntryIdentity(name, f'{name}.1', 'dc-1', Address('127.0.0.1', 1)) for name in NAMES
)
ALL_SHARDS = tuple(range(SHARD_COUNT))


@pytest.fixture
async def table():
    table = MemoryTable()
    for identity in (ALPHA, BETA, GAMMA):
        await EntryRegistry(table).register(identity)
    return table


@pytest.fixture
async def directory(table):
    directory = ShardDirectory(table, retention_s=900, clock=lambda: NOW)
    await directory.join(ALPHA)
    return directory


class TestEntryRegistry:
    @pytest.mark.parametrize('fault', ['lose_answers', 'late_commits'])
    async def test_a_lost_response_does_not_fail_a_registration_or_retirement(
        self, fault
    ):
        table = MemoryTable()
        registry = EntryRegistry(table)
        setattr(table.faults, fault, 1)
        await registry.register(ALPHA)
        assert await registry.list_live_entries() == [ALPHA]
        setattr(table.faults, fault, 1)
        await registry.retire(ALPHA)
        assert await registry.list_live_entries() == []

    async def test_registration_fails_while_the_table_is_down(self):
        table = MemoryTable()
        table.faults.down = True
        with pytest.raises(TableUnavailable):
            await EntryRegistry(table).register(ALPHA)

    async def test_a_fenced_entry_can_neither_retire_nor_register_again(
        self, table, directory
    ):
        registry = EntryRegistry(table)
        await directory.take_over(ALPHA.incarnation, BETA)
        assert await registry.list_fenced_entries() == [ALPHA]
        with pytest.raises(IncarnationFenced):
            await registry.retire(ALPHA)
        with pytest.raises(IncarnationFenced):
            await registry.register(ALPHA)


class TestJoin:
    async def test_the_first_entry_owns_all_shards_and_releases_some_to_the_second(
        self, directory
    ):
        shard_map = directory.shard_map
        assert shard_map.shards_of(ALPHA.incarnation) == ALL_SHARDS
        live = (ALPHA.incarnation, BETA.incarnation)
        (move,) = shard_map.plan_rebalancing(ALPHA.incarnation, live)
        released = await directory.release_shards(ALPHA, move.shards, move.to)
        assert released.shards_of(BETA.incarnation) == move.shards
        assert released.former_owners_of(move.shards[0]) == (ALPHA.incarnation,)
        assert released.plan_rebalancing(ALPHA.incarnation, live) == ()

    async def test_only_one_of_three_concurrent_joins_takes_the_shards(self, table):
        directories = [ShardDirectory(table, retention_s=900) for _name in NAMES]
        await asyncio.gather(
            *(
                shard_directory.join(identity)
                for shard_directory, identity in zip(
                    directories, (ALPHA, BETA, GAMMA), strict=True
                )
            )
        )
        shard_map = await directories[0].refresh()
        assert len(set(shard_map.owners)) == 1
        assert shard_map.version == 1

    async def test_a_delayed_join_of_a_retired_entry_is_not_applied(self, table):
        table.faults.late_commits = 3
        with pytest.raises(TableUnavailable):
            await ShardDirectory(table, retention_s=900).join(BETA)
        await EntryRegistry(table).retire(BETA)
        assert table.deliver_late_commits() == 0

    async def test_shards_are_not_released_to_a_retired_entry(self, table, directory):
        await EntryRegistry(table).retire(BETA)
        shard_map = await directory.release_shards(ALPHA, ALL_SHARDS, BETA.incarnation)
        assert shard_map.shards_of(ALPHA.incarnation) == ALL_SHARDS

    async def test_an_unregistered_entry_can_not_join(self, table):
        unregistered = EntryIdentity('d', 'd.1', 'dc-1', Address('127.0.0.1', 1))
        with pytest.raises(IncarnationFenced):
            await ShardDirectory(table, retention_s=900).join(unregistered)


class TestLeave:
    @pytest.mark.parametrize('fault', ['lose_answers', 'late_commits'])
    async def test_leaving_moves_all_shards_in_one_change(
        self, table, directory, fault
    ):
        setattr(table.faults, fault, 1)
        shard_map = await directory.leave(ALPHA)
        table.deliver_late_commits()
        assert await directory.refresh() == shard_map
        assert shard_map.version == 2
        assert set(shard_map.owners) == {BETA.incarnation, GAMMA.incarnation}
        with pytest.raises(IncarnationFenced):
            await directory.release_shards(ALPHA, ALL_SHARDS, BETA.incarnation)

    async def test_leaving_moves_shards_only_to_the_candidates(self, directory):
        shard_map = await directory.leave(ALPHA, candidates={GAMMA.incarnation})
        assert shard_map.shards_of(GAMMA.incarnation) == ALL_SHARDS

    async def test_shards_of_the_last_entry_to_leave_have_no_owner_and_one_former_owner(
        self, table, directory
    ):
        await directory.leave(BETA)
        await directory.leave(GAMMA)
        await directory.leave(ALPHA)
        assert set(directory.shard_map.owners) == {''}
        assert directory.shard_map.former_owners_of(0) == (ALPHA.incarnation,)


class TestTakeover:
    @pytest.mark.parametrize('fault', ['lose_answers', 'late_commits'])
    async def test_a_takeover_with_a_lost_response_succeeds(
        self, table, directory, fault
    ):
        setattr(table.faults, fault, 1)
        outcome = await directory.take_over(ALPHA.incarnation, BETA)
        table.deliver_late_commits()
        assert outcome.won
        assert outcome.inherited_shards == outcome.shard_map.shards_of(BETA.incarnation)
        assert await directory.refresh() == outcome.shard_map

    async def test_only_one_of_two_concurrent_takeovers_wins(self, table, directory):
        directories = [ShardDirectory(table, retention_s=900) for _name in range(2)]
        first, second = await asyncio.gather(
            directories[0].take_over(ALPHA.incarnation, BETA),
            directories[1].take_over(ALPHA.incarnation, GAMMA),
        )
        assert {first.won, second.won} == {True, False}
        assert first.fenced_by == second.fenced_by
        assert first.shard_map == second.shard_map
        assert sorted(first.inherited_shards + second.inherited_shards) == list(
            ALL_SHARDS
        )

    async def test_of_two_entries_that_take_each_other_over_one_is_fenced(
        self, table, directory
    ):
        directories = [ShardDirectory(table, retention_s=900) for _name in range(2)]
        results = await asyncio.gather(
            directories[0].take_over(ALPHA.incarnation, BETA),
            directories[1].take_over(BETA.incarnation, ALPHA),
            return_exceptions=True,
        )
        assert sum(isinstance(result, IncarnationFenced) for result in results) == 1
        assert len(await EntryRegistry(table).list_live_entries()) == 2

    async def test_an_entry_that_leaves_during_a_takeover_gets_no_shards(
        self, table, directory
    ):
        await asyncio.gather(
            directory.take_over(ALPHA.incarnation, BETA),
            ShardDirectory(table, retention_s=900).leave(GAMMA),
        )
        shard_map = await directory.refresh()
        assert set(shard_map.owners) == {BETA.incarnation}

    async def test_an_entry_taken_over_during_a_release_to_it_owns_no_shards(
        self, table, directory
    ):
        await asyncio.gather(
            directory.release_shards(ALPHA, range(8), GAMMA.incarnation),
            ShardDirectory(table, retention_s=900).take_over(GAMMA.incarnation, BETA),
        )
        shard_map = await directory.refresh()
        assert GAMMA.incarnation not in shard_map.owners


class TestDeleteExpiredEntries:
    async def test_rows_and_journals_are_deleted_only_after_the_retention(self, table):
        now = [NOW]
        directory = ShardDirectory(table, retention_s=900, clock=lambda: now[0])
        await directory.join(ALPHA)
        await table.commit(Transaction((), (Put('journal/alpha.1/0', b''),)))
        await directory.take_over(ALPHA.incarnation, BETA)
        assert await directory.delete_expired_entries() == 0
        now[0] += 1000
        await directory.leave(GAMMA)
        assert await directory.delete_expired_entries() == 1
        assert await table.scan('journal/') == []
        assert await EntryRegistry(table).list_fenced_entries() == []
        assert await EntryRegistry(table).list_live_entries() == [BETA]


class TestShardMap:
    def test_former_owners_are_dropped_after_the_retention(self):
        first = ShardMap(owners=('a',) * SHARD_COUNT)
        second = first.with_moves([ShardMove('b', (1,))], now=0, retention_s=900)
        assert second.former_owners_of(1) == ('a',)
        later = second.with_moves([ShardMove('b', (2,))], now=961, retention_s=900)
        assert later.former_owners_of(1) == ()
        assert later.former_owners_of(2) == ('a',)

    def test_gained_and_inherited_shards_are_listed(self):
        first = ShardMap(owners=('a',) * SHARD_COUNT)
        second = first.with_moves([ShardMove('b', (1, 2))], now=0, retention_s=900)
        assert second.gained_since(first, 'b') == (1, 2)
        assert second.shards_inherited_from('a', 'b') == (1, 2)
