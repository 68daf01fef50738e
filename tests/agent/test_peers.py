"""Tests of the search for entries."""

import asyncio

import pytest
from endivetally_agent.counters import AgentCounters
from endivetally_agent.peers import EntryConnector
from endivetally_agent.peers import EntryDiscovery
from endivetally_config.settings import AgentSettings
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import Address
from endivetally_core.joining import AgentIdentity
from endivetally_core.joining import EntryIdentity
from endivetally_table.entries import EntryRow
from endivetally_table.entries import entry_put
from endivetally_table.table import Row
from endivetally_table.table import Table

from .fake_entry import FakeEntry


class RowsTable(Table):
    """A table with rows of entries that can be down."""

    def __init__(self, *rows, down=False):
        self.rows = rows
        self.down = down

    async def read(self, key):
        raise NotImplementedError

    async def scan(self, prefix):
        if self.down:
            raise TableUnavailable(prefix)
        puts = [entry_put(row) for row in self.rows]
        return [Row(put.key, put.content, 1) for put in puts]

    async def commit(self, transaction):
        raise NotImplementedError

    def close(self):
        """Holds nothing."""


class Connector(EntryConnector):
    """Notes which entries would be linked."""

    def __init__(self):
        self.served = []
        self.fenced = set()
        self.changed = asyncio.Event()
        self.dialable = True

    def identity(self):
        return AgentIdentity(
            'agent-1', 'agent-1.01', 'dc-1', 'rack-1', 'lookups', 8, 64, 1000
        )

    def is_linked(self, entry):
        return False

    def fence_entry(self, entry):
        self.fenced.add(entry)
        self.changed.set()

    async def serve_link(self, entry, address):
        self.served.append(entry.name)
        self.changed.set()
        if not self.dialable:
            raise LinkClosed(address)
        await asyncio.Event().wait()

    async def until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def _settings(*seeds):
    nowhere = Address('127.0.0.1', 1)
    return AgentSettings('agent-1', 'dc-1', 'rack-1', nowhere, nowhere, seeds=seeds)


class _Search:
    """Runs the search for as long as the context is open."""

    def __init__(self, table, *seeds):
        self.connector = Connector()
        self.counters = AgentCounters()
        self.peers = EntryDiscovery(
            _settings(*seeds), self.connector, table, self.counters
        )

    async def __aenter__(self):
        self._task = asyncio.ensure_future(self.peers.run())
        return self

    async def __aexit__(self, *_exception):
        self._task.cancel()
        await self.peers.close()


class TestSearch:
    async def test_live_rows_are_joined_and_fenced_ones_noted(self):
        async with FakeEntry('entry-1') as entry:
            gone = EntryIdentity('entry-2', 'entry-2.01', 'dc-1', Address('h', 1))
            table = RowsTable(EntryRow(entry.identity), EntryRow(gone, 'fenced'))
            async with _Search(table) as search:
                await search.connector.until(lambda: search.connector.served)
                assert search.connector.fenced == {'entry-2.01'}
                assert search.peers.entry_count == 1

    @pytest.mark.parametrize('table', [None, RowsTable(down=True)])
    async def test_seeds_serve_without_the_table(self, table):
        async with FakeEntry('entry-1', fenced=['entry-9.01']) as entry:
            async with _Search(table, entry.address) as search:
                await search.connector.until(lambda: search.connector.served)
                assert search.connector.fenced == {'entry-9.01'}

    async def test_entries_are_learnt_from_an_answer(self):
        async with FakeEntry('entry-1') as first, FakeEntry('entry-2') as second:
            first.known = [second.identity]
            async with _Search(None, first.address) as search:
                await search.connector.until(lambda: len(search.connector.served) > 1)
                assert set(search.connector.served) == {'entry-1', 'entry-2'}

    async def test_an_entry_that_cannot_be_dialled_is_tried_again(self):
        async with FakeEntry('entry-1') as entry:
            search = _Search(None, entry.address)
            search.connector.dialable = False
            async with search:
                await search.connector.until(lambda: len(search.connector.served) > 2)

    async def test_an_entry_is_learnt_again_after_a_fault_of_ours(self, monkeypatch):
        monkeypatch.setattr('endivetally_agent.peers.SCAN_INTERVAL_S', 0.1)
        async with FakeEntry('entry-1') as entry:
            search = _Search(RowsTable(EntryRow(entry.identity)))
            serve_link = search.connector.serve_link

            async def fail_once(identity, address):
                search.connector.serve_link = serve_link
                raise RuntimeError(address)

            search.connector.serve_link = fail_once
            async with search:
                await search.connector.until(lambda: search.connector.served)

    async def test_closing_ends_all_tasks(self):
        async with FakeEntry('entry-1') as entry:
            async with _Search(None, entry.address) as search:
                await search.connector.until(lambda: search.connector.served)
        names = {task.get_coro().__qualname__ for task in asyncio.all_tasks()}
        assert 'EntryDiscovery._maintain_link' not in names
