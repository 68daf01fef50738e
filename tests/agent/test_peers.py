"""Tests of the discovery of entries."""

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


class EntryTable(Table):
    """A table of entry rows that can be unavailable."""

    def __init__(self, *rows, unavailable=False):
        self.rows = rows
        self.unavailable = unavailable

    async def read(self, key):
        raise NotImplementedError

    async def scan(self, prefix):
        if self.unavailable:
            raise TableUnavailable(prefix)
        puts = [entry_put(row) for row in self.rows]
        return [Row(put.key, put.content, 1) for put in puts]

    async def commit(self, transaction):
        raise NotImplementedError

    def close(self):
        """Do nothing; the table holds no resources."""


class RecordingConnector(EntryConnector):
    """Records the entries that the discovery links and fences."""

    def __init__(self):
        self.served = []
        self.fenced = set()
        self.changed = asyncio.Event()
        self.reachable = True

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
        if not self.reachable:
            raise LinkClosed(address)
        await asyncio.Event().wait()

    async def wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


def _settings(*seeds):
    unused_address = Address('127.0.0.1', 1)
    return AgentSettings(
        'agent-1', 'dc-1', 'rack-1', unused_address, unused_address, seeds=seeds
    )


class _RunningDiscovery:
    """Runs the discovery while the context is open."""

    def __init__(self, table, *seeds):
        self.connector = RecordingConnector()
        self.counters = AgentCounters()
        self.discovery = EntryDiscovery(
            _settings(*seeds), self.connector, table, self.counters
        )

    async def __aenter__(self):
        self._task = asyncio.ensure_future(self.discovery.run())
        return self

    async def __aexit__(self, *_exception):
        self._task.cancel()
        await self.discovery.close()


class TestDiscovery:
    async def test_live_entries_are_joined_and_fenced_ones_refused(self):
        async with FakeEntry('entry-1') as entry:
            fenced_entry = EntryIdentity(
                'entry-2', 'entry-2.01', 'dc-1', Address('h', 1)
            )
            table = EntryTable(
                EntryRow(entry.identity), EntryRow(fenced_entry, 'fenced')
            )
            async with _RunningDiscovery(table) as running:
                await running.connector.wait_until(lambda: running.connector.served)
                assert running.connector.fenced == {'entry-2.01'}
                assert running.discovery.address_count == 1

    @pytest.mark.parametrize('table', [None, EntryTable(unavailable=True)])
    async def test_seeds_are_used_without_the_table(self, table):
        async with FakeEntry('entry-1', fenced=['entry-9.01']) as entry:
            async with _RunningDiscovery(table, entry.address) as running:
                await running.connector.wait_until(lambda: running.connector.served)
                assert running.connector.fenced == {'entry-9.01'}

    async def test_entries_in_a_join_response_are_joined(self):
        async with FakeEntry('entry-1') as first, FakeEntry('entry-2') as second:
            first.known_entries = [second.identity]
            async with _RunningDiscovery(None, first.address) as running:
                await running.connector.wait_until(
                    lambda: len(running.connector.served) > 1
                )
                assert set(running.connector.served) == {'entry-1', 'entry-2'}

    async def test_an_entry_that_cannot_be_connected_is_tried_again(self):
        async with FakeEntry('entry-1') as entry:
            running = _RunningDiscovery(None, entry.address)
            running.connector.reachable = False
            async with running:
                await running.connector.wait_until(
                    lambda: len(running.connector.served) > 2
                )

    async def test_an_entry_is_joined_again_after_an_unexpected_exception(
        self, monkeypatch
    ):
        monkeypatch.setattr('endivetally_agent.peers.SCAN_INTERVAL_S', 0.1)
        async with FakeEntry('entry-1') as entry:
            running = _RunningDiscovery(EntryTable(EntryRow(entry.identity)))
            serve_link = running.connector.serve_link

            async def fail_once(identity, address):
                running.connector.serve_link = serve_link
                raise RuntimeError(address)

            running.connector.serve_link = fail_once
            async with running:
                await running.connector.wait_until(lambda: running.connector.served)

    async def test_closing_cancels_all_tasks(self):
        async with FakeEntry('entry-1') as entry:
            async with _RunningDiscovery(None, entry.address) as running:
                await running.connector.wait_until(lambda: running.connector.served)
        coroutine_names = {task.get_coro().__qualname__ for task in asyncio.all_tasks()}
        assert 'EntryDiscovery._maintain_link' not in coroutine_names
