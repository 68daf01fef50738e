"""Entries and agents in several data centres that follow rows of the table ``op``."""

import asyncio

from endivetally_core.errors import TableUnavailable
from endivetally_held.discovery import RowWatcher
from endivetally_held.evacuation import EvacuationReader
from endivetally_table.memory_feed import MemoryFeedTable
from endivetally_table.memory_feed import VersionCounter
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from held.cluster import Cluster

EVACUATION_S = 5
# Time after which a call to an unreachable store fails.
TIMEOUT_S = 1.0
# Time that a slow call to the store takes; it then returns the changes until then.
SLOW_CALL_S = 0.9


class NodeTable:
    """The table as one node reaches it, or not."""

    def __init__(self, table, cluster, name):
        self.table = table
        self.cluster = cluster
        self.name = name
        self.reads = []

    async def read_snapshot(self, prefix):
        self.reads.append(self.cluster.loop.time())
        await self._fail_if_cut()
        return await self.table.read_snapshot(prefix)

    async def wait_for_changes(self, after, wait_s):
        await self._fail_if_cut()
        if self.name in self.cluster.slow_at_store:
            await asyncio.sleep(SLOW_CALL_S)
            wait_s = 0
        changes = await self.table.wait_for_changes(after, wait_s)
        await self._fail_if_cut()
        return changes

    async def _fail_if_cut(self):
        if self.name in self.cluster.cut_from_store:
            await asyncio.sleep(TIMEOUT_S)
            raise TableUnavailable('cut')


class EvacuationCluster(Cluster):
    """A cluster whose nodes take turns in being in ``north`` and ``south``.

    :param enabled: roles whose settings hold ``evacuationMs``.
    """

    def __init__(self, enabled=('entry', 'agent'), **options):
        super().__init__(**options)
        self.enabled = enabled
        versions = VersionCounter()
        self.operator_table = MemoryFeedTable(versions)
        # Its changes increase the store's version, and are not in the operators' feed.
        self.own_table = MemoryFeedTable(versions)
        self.cut_from_store = set()
        self.slow_at_store = set()
        self.tables = {}
        self.watchers = {}

    def find_data_centre(self, name):
        return ('north', 'south')[int(name.rpartition('-')[2]) % 2]

    def start_agent(self, name):
        super().start_agent(name)
        if 'agent' in self.enabled:
            self.tables[name] = NodeTable(self.operator_table, self, name)
            reader = EvacuationReader(
                self.tables[name], self.agents[name].evacuation, self.events
            )
            self._node(name).run(reader.run())

    def start_entry(self, name):
        super().start_entry(name)
        if 'entry' not in self.enabled:
            return
        evacuations = self.entries[name].connections.evacuations
        evacuations.enable(EVACUATION_S, lambda: {'north', 'south'})
        watcher = RowWatcher(
            NodeTable(self.operator_table, self, name),
            '',
            lambda rows: evacuations.apply_rows(rows, watcher.version),
            self.events,
            evacuations.record_contact,
        )
        self.watchers[name] = watcher
        self._node(name).run(watcher.run())

    async def evacuate(self, *data_centres, content=b'{}'):
        await self._write(data_centres, content)

    async def withdraw(self, *data_centres):
        await self._write(data_centres, None)

    def count_starts(self, data_centre, since=0):
        """Return how many runs have started in a data centre since a time."""
        targets = {
            target.report.target_id
            for name, target in self.targets.items()
            if self.find_data_centre(name) == data_centre
        }
        return sum(
            run.target in targets and run.started_at > since
            for run in self.run_history.runs
        )

    async def _write(self, data_centres, content):
        puts = tuple(Put(f'evacuate/{each}', content) for each in data_centres)
        await self.operator_table.commit(Transaction((), puts))
