"""The keyed daemons beside rows of other writers, on loopback."""

import asyncio
import contextlib

import msgspec
import pytest
from endivetally.capacity.fleets import running_fleet
from endivetally_config.store import ConfigStore
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import TableConflict
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_entry.lifecycle import REFRESH_INTERVAL_S
from endivetally_table.directory import ShardDirectory
from endivetally_table.entries import ENTRY_PREFIX
from endivetally_table.entries import EntryRegistry
from endivetally_table.entries import EntryRow
from endivetally_table.entries import entry_key
from endivetally_table.entries import live_condition
from endivetally_table.http import HttpTable
from endivetally_table.memory import MemoryTable
from endivetally_table.shards import SHARDS_KEY
from endivetally_table.table import Put
from endivetally_table.table import Transaction

IDENTITY = EntryIdentity('entry-9', 'entry-9.1', 'dc-1', Address('127.0.0.1', 1))
JOINING = EntryIdentity('entry-8', 'entry-8.1', 'dc-1', Address('127.0.0.1', 1))
DEPTH = 50_000
# Longer than the interval at which entries read the table, with its jitter.
REFRESHED_S = REFRESH_INTERVAL_S * 1.4


def change(**fields):
    """Return the row of an entry with other values in its identity."""
    builtins = msgspec.to_builtins(EntryRow(IDENTITY))
    builtins['identity'].update(fields)
    return msgspec.msgpack.encode(builtins)


CONTENTS = {
    'empty': b'',
    'JSON': b'{}',
    'no MessagePack': b'\xc1',
    'nested lists': b'\x91' * DEPTH + b'\x90',
    'nested identity': b'\x81\xa8identity' + b'\x91' * DEPTH + b'\x90',
    'port 70,000': change(address={'host': '127.0.0.1', 'port': 70_000}),
    'port -1': change(address={'host': '127.0.0.1', 'port': -1}),
    'port infinite': change(address={'host': '127.0.0.1', 'port': float('inf')}),
    'no address': change(address=None),
    'name 3': change(name=3),
    'another key': change(),
    'no text': b'\x81\xa8identity\xa1\xff',
}


@contextlib.asynccontextmanager
async def open_table(fleet):
    with contextlib.closing(HttpTable(fleet.table.address)) as table:
        yield table


async def test_odd_rows_among_those_of_entries_stop_no_daemon():
    """Entries followed nothing any more, and agents that started found no entry."""
    async with running_fleet(entries=2, workers=1) as fleet, open_table(fleet) as table:
        puts = tuple(
            Put(f'{ENTRY_PREFIX}odd-{number}', content)
            for number, content in enumerate(CONTENTS.values())
        )
        await table.commit(Transaction((), puts))
        await asyncio.sleep(REFRESHED_S)
        for placement in fleet.deployment.entries:
            await fleet.get_process(placement.name).kill()
            await fleet.start_entry(placement)
        await fleet.submit_config(fleet.deployment.config, based_on=1)
        await fleet.wait_until_ready(version=2)
        assert fleet.crashed == []


async def test_an_odd_shard_map_stops_no_entry_for_good():
    """The entry followed nothing any more after the map was mended."""
    async with running_fleet(entries=1, workers=1) as fleet, open_table(fleet) as table:
        mended = await table.read(SHARDS_KEY)
        for content in (b'odd', mended.content):
            await table.commit(Transaction((), (Put(SHARDS_KEY, content),)))
            await asyncio.sleep(REFRESHED_S)
        store = ConfigStore(table)
        stored = await store.read()
        await store.replace(stored.config, stored.version, 'test')
        await fleet.wait_until_ready(version=2)
        assert fleet.crashed == []


@pytest.mark.parametrize('content', CONTENTS.values(), ids=CONTENTS)
async def test_an_odd_row_hides_no_entry_and_proves_no_end(content, caplog):
    table = MemoryTable()
    registry = EntryRegistry(table)
    await registry.register(IDENTITY)
    for name in ('odd-1', 'odd-2'):
        await table.commit(Transaction((), (Put(f'{ENTRY_PREFIX}{name}', content),)))
    assert await registry.list_live_entries() == [IDENTITY]
    assert len(caplog.records) == 1
    assert not await registry.has_ended('odd-1')
    assert not await registry.has_ended(IDENTITY.incarnation)
    assert await registry.has_ended('unknown')
    await registry.retire(IDENTITY)
    assert await registry.has_ended(IDENTITY.incarnation)


async def test_an_entry_whose_row_is_replaced_counts_as_fenced():
    table = MemoryTable()
    registry = EntryRegistry(table)
    await registry.register(IDENTITY)
    await table.commit(Transaction((), (Put(entry_key('entry-9.1'), b'odd'),)))
    with pytest.raises(IncarnationFenced):
        await registry.retire(IDENTITY)


@pytest.mark.parametrize('contents', [(b'odd',), (None, b'odd')])
async def test_an_entry_whose_row_is_replaced_shares_no_shards_with_another(contents):
    """Its shards went to an entry that joined, while its own writes were accepted."""
    table = MemoryTable()
    for identity in (IDENTITY, JOINING):
        await EntryRegistry(table).register(identity)
    directory = ShardDirectory(table, retention_s=900)
    await directory.join(IDENTITY)
    key = entry_key(IDENTITY.incarnation)
    for content in contents:
        await table.commit(Transaction((), (Put(key, content),)))
    shard_map = await directory.join(JOINING)
    write = Transaction((live_condition(IDENTITY.incarnation),), (Put('j', b''),))
    if shard_map.shards_of(JOINING.incarnation):
        with pytest.raises(TableConflict):
            await table.commit(write)
