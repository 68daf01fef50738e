"""Tests of tables with a change feed: in the platform's store and in memory."""

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
async def table_and_memory_table(request):
    """Yield a table, and the in-memory table that holds its rows."""
    async with AsyncExitStack() as stack:
        if request.param == 'memory':
            table = MemoryFeedTable()
            yield table, table
            return
        store = StoreStandIn()
        store.page_size = 2
        address = await stack.enter_async_context(serve(store.create_application()))
        http_client = HttpClient(address)
        stack.push_async_callback(http_client.close)
        yield StoreTable(http_client, 'own'), store.get_table('own')


def list_contents(changes):
    """Return the key and content of each change; no content for a deletion."""
    return [(each.key, each.row and each.row.content) for each in changes.rows]


def put_row(key, content=b'x'):
    return Transaction((), (Put(key, content),))


async def test_committed_rows_can_be_read(table_and_memory_table):
    table, _ = table_and_memory_table
    for key in ('a/1', 'a/2', 'a/3', 'b/1'):
        await table.commit(put_row(key, key.encode()))
    assert [row.key for row in await table.scan('a/')] == ['a/1', 'a/2', 'a/3']
    assert [row.key for row in await table.scan('a/', after='a/1', limit=1)] == ['a/2']
    assert (await table.read('b/1')).content == b'b/1'
    assert await table.read('b') is None


async def test_commit_with_an_outdated_condition_conflicts(table_and_memory_table):
    table, _ = table_and_memory_table
    await table.commit(put_row('a'))
    row = await table.read('a')
    await table.commit(Transaction((Condition('a', row.version),), (Put('a', b'new'),)))
    with pytest.raises(TableConflict):
        await table.commit(
            Transaction((Condition('a', row.version),), (Put('a', b'old'),))
        )
    assert (await table.read('a')).content == b'new'


async def test_feed_continues_after_a_snapshot(table_and_memory_table):
    table, _ = table_and_memory_table
    await table.commit(put_row('a'))
    snapshot = await table.read_snapshot('')
    assert [row.key for row in snapshot.rows] == ['a']
    waiting = asyncio.ensure_future(table.wait_for_changes(snapshot.version, 5))
    await asyncio.sleep(0.01)
    await table.commit(Transaction((), (Put('b', b'y'), Put('a', None))))
    changes = await waiting
    assert list_contents(changes) == [('b', b'y'), ('a', None)]
    unchanged = await table.wait_for_changes(changes.version, 0.01)
    assert (unchanged.rows, unchanged.version) == ((), changes.version)


async def test_feed_returns_every_change_of_a_row_in_order(table_and_memory_table):
    """Without the order, nobody can tell whether the row exists."""
    table, _ = table_and_memory_table
    written = [('a', b'1'), ('b', b'2'), ('a', None), ('b', None), ('a', b'3')]
    for key, content in written:
        await table.commit(put_row(key, content))
    changes = await table.wait_for_changes(0, 5)
    assert list_contents(changes) == written


async def test_discarded_history_raises_history_lost(table_and_memory_table):
    table, memory_table = table_and_memory_table
    await table.commit(put_row('a'))
    memory_table.discard_history()
    with pytest.raises(HistoryLost):
        await table.wait_for_changes(1, 0.01)


@pytest.mark.parametrize('status', [429, 503])
async def test_refused_write_raises_table_unavailable_without_a_retry(status):
    store = StoreStandIn()
    store.write_error_status = status
    async with serve(store.create_application()) as address:
        http_client = HttpClient(address)
        with pytest.raises(TableUnavailable):
            await StoreTable(http_client, 'own').commit(put_row('a'))
        await http_client.close()
    assert store.write_count == 1


async def test_unreachable_store_raises_table_unavailable():
    http_client = HttpClient('127.0.0.1:1')
    with pytest.raises(TableUnavailable):
        await StoreTable(http_client, 'own').read_snapshot('')
    await http_client.close()
