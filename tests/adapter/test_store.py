"""The contract of tables with a feed, over the platform's store and in memory."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from adapter.servers import serve
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_platform.http_client import HttpClient
from endivetally_platform.standins import StoreStandIn
from endivetally_platform.store import StoreTable
from endivetally_table.feed import HistoryLost
from endivetally_table.memory_feed import MemoryFeedTable
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Transaction


@pytest.fixture(params=['memory', 'store'])
async def opened(request):
    """A table, and what stands behind it."""
    async with AsyncExitStack() as stack:
        if request.param == 'memory':
            table = MemoryFeedTable()
            yield table, table
            return
        store = StoreStandIn()
        store.page_size = 2
        address = await stack.enter_async_context(serve(store.create_application()))
        caller = HttpClient(address)
        stack.push_async_callback(caller.close)
        yield StoreTable(caller, 'own'), store.get_table('own')


def put(key, content=b'x'):
    return Transaction((), (Put(key, content),))


async def test_rows_are_read_back(opened):
    table, _ = opened
    for key in ('a/1', 'a/2', 'a/3', 'b/1'):
        await table.commit(put(key, key.encode()))
    assert [row.key for row in await table.scan('a/')] == ['a/1', 'a/2', 'a/3']
    assert [row.key for row in await table.scan('a/', after='a/1', limit=1)] == ['a/2']
    assert (await table.read('b/1')).content == b'b/1'
    assert await table.read('b') is None


async def test_conditions_hold(opened):
    table, _ = opened
    await table.commit(put('a'))
    row = await table.read('a')
    await table.commit(Transaction((Condition('a', row.version),), (Put('a', b'new'),)))
    with pytest.raises(TableConflict):
        await table.commit(
            Transaction((Condition('a', row.version),), (Put('a', b'old'),))
        )
    assert (await table.read('a')).content == b'new'


async def test_changes_follow_a_snapshot(opened):
    table, _ = opened
    await table.commit(put('a'))
    snapshot = await table.snapshot('')
    assert [row.key for row in snapshot.rows] == ['a']
    waiting = asyncio.ensure_future(table.changes(snapshot.version, 5))
    await asyncio.sleep(0.01)
    await table.commit(Transaction((), (Put('b', b'y'), Put('a', None))))
    changes = await waiting
    assert [row.key for row in changes.rows] == ['b']
    assert [row.key for row in changes.deleted] == ['a']
    quiet = await table.changes(changes.version, 0.01)
    assert (quiet.rows, quiet.version) == ((), changes.version)


async def test_lost_history_is_told(opened):
    table, behind = opened
    await table.commit(put('a'))
    behind.forget_history()
    with pytest.raises(HistoryLost):
        await table.changes(1, 0.01)


@pytest.mark.parametrize('status', [429, 503])
async def test_refused_calls_are_unavailable(status):
    store = StoreStandIn()
    store.write_error_status = status
    async with serve(store.create_application()) as address:
        caller = HttpClient(address)
        with pytest.raises(TableUnavailable):
            await StoreTable(caller, 'own').commit(put('a'))
        await caller.close()
    assert store.write_count == 1


async def test_nobody_there_is_unavailable():
    caller = HttpClient('127.0.0.1:1')
    with pytest.raises(TableUnavailable):
        await StoreTable(caller, 'own').snapshot('')
    await caller.close()
