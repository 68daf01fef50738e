"""Interleavings of journal writes, lost and late commits and takeovers."""

import asyncio

from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import RequestError
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_table.batches import JournalRecord
from endivetally_table.batches import read_journal
from endivetally_table.directory import ShardDirectory
from endivetally_table.entries import EntryRegistry
from endivetally_table.journal import Journal
from endivetally_table.journal_index import possible_agents
from endivetally_table.memory import MemoryTable
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

ENTRIES = st.integers(0, 2)
AGENTS = st.sampled_from(['a', 'b'])
IDENTITIES = [
    EntryIdentity(name, f'{name}.1', 'dc-1', Address('127.0.0.1', 1))
    for name in ('alpha', 'beta', 'gamma')
]


class Interleavings(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self._runner = asyncio.Runner()
        self.table = MemoryTable()
        self.started = {identity.incarnation: {} for identity in IDENTITIES}
        self.at_fence = {}
        self.sequence = 0
        self._run(self._set_up())

    def _run(self, coroutine):
        return self._runner.run(coroutine)

    async def _set_up(self):
        registry = EntryRegistry(self.table)
        self.journals = []
        for identity in IDENTITIES:
            await registry.register(identity)
            self.journals.append(Journal(self.table, identity, probe_interval_s=0))
        await ShardDirectory(self.table, retention_s=900).join(IDENTITIES[0])

    @rule(index=ENTRIES, count=st.integers(1, 3))
    def record(self, index, count):
        self._run(self._record(index, count))

    async def _record(self, index, count):
        journal, incarnation = self.journals[index], IDENTITIES[index].incarnation
        sequences = range(self.sequence, self.sequence + count)
        self.sequence += count
        calls = [
            journal.append_record(JournalRecord(number, 't', 's', 'k', b'', 1, 0))
            for number in sequences
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        for number, result in zip(sequences, results, strict=True):
            assert result is None or isinstance(
                result, RequestError | IncarnationFenced
            )
            if result is None:
                assert incarnation not in self.at_fence
                self.started[incarnation][number] = set(journal.admitted_agents)
        await asyncio.sleep(0)

    @rule(index=ENTRIES, agent=AGENTS, admit=st.booleans())
    def change_agents(self, index, agent, admit):
        self._run(self._change_agents(index, frozenset({agent}), admit=admit))

    async def _change_agents(self, index, agents, *, admit):
        journal = self.journals[index]
        if not admit:
            journal.remove_agents(agents)
            return
        result = await asyncio.gather(
            journal.admit_agents(agents), return_exceptions=True
        )
        if result == [None]:
            for used in self.started[IDENTITIES[index].incarnation].values():
                used |= journal.admitted_agents

    @rule(lost=st.integers(0, 2), late=st.integers(0, 3), down=st.booleans())
    def set_faults(self, lost, late, down):
        self.table.faults.lose_answers = lost
        self.table.faults.late_commits = late
        self.table.faults.down = down

    @rule()
    def deliver_late_commits(self):
        self.table.deliver_late_commits()

    @rule(dead=ENTRIES, successor=ENTRIES)
    def take_over(self, dead, successor):
        if dead != successor:
            self._run(self._take_over(dead, successor))

    async def _take_over(self, dead, successor):
        directory = ShardDirectory(self.table, retention_s=900)
        call = directory.take_over(IDENTITIES[dead].incarnation, IDENTITIES[successor])
        await asyncio.gather(call, return_exceptions=True)

    @invariant()
    def fenced_journals_are_final_and_whole(self):
        rows = self.table._rows
        for identity in IDENTITIES:
            name = identity.incarnation
            if rows[f'entry/{name}'].version == 1:
                continue
            keys = [key for key in rows if key.startswith(f'journal/{name}/')]
            assert self.at_fence.setdefault(name, keys) == keys
            self._run(self._check_recovery(name))

    async def _check_recovery(self, name):
        faults, self.table.faults = self.table.faults, type(self.table.faults)()
        batches = await read_journal(self.table, name)
        self.table.faults = faults
        recorded = {entry.sequence for batch in batches for entry in batch.records}
        assert recorded >= set(self.started[name])
        for sequence, used in self.started[name].items():
            assert possible_agents(batches, sequence) >= used

    @invariant()
    def shards_belong_to_live_entries(self):
        row = self.table._rows['shards']
        assert all(
            self.table._rows[f'entry/{owner}'].version == 1
            for owner in self._owners(row)
        )

    def _owners(self, row):
        directory = ShardDirectory(self.table, retention_s=900)
        faults, self.table.faults = self.table.faults, type(self.table.faults)()
        shard_map = self._run(directory.refresh())
        self.table.faults = faults
        return set(shard_map.owners) - {''}

    def teardown(self):
        for journal in self.journals:
            journal.close()
        self._runner.close()


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
