"""Random interleavings of journal writes, faults of the table and takeovers.

A takeover reads the journal of the fenced entry to find which requests may have
started and on which agents. A write applied after the fence, or a record missing
from the journal, would let a request run twice.
"""

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
from endivetally_table.journal_index import find_possible_agents
from endivetally_table.memory import MemoryTable
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

ENTRY_INDEXES = st.integers(0, 2)
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
        self.keys_at_fence = {}
        self.next_sequence = 0
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

    @rule(index=ENTRY_INDEXES, count=st.integers(1, 3))
    def record_requests(self, index, count):
        self._run(self._record_requests(index, count))

    async def _record_requests(self, index, count):
        journal, incarnation = self.journals[index], IDENTITIES[index].incarnation
        sequences = range(self.next_sequence, self.next_sequence + count)
        self.next_sequence += count
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
                assert incarnation not in self.keys_at_fence
                self.started[incarnation][number] = set(journal.admitted_agents)
        await asyncio.sleep(0)

    @rule(index=ENTRY_INDEXES, agent=AGENTS, admit=st.booleans())
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
            for agents_used in self.started[IDENTITIES[index].incarnation].values():
                agents_used |= journal.admitted_agents

    @rule(lost=st.integers(0, 2), late=st.integers(0, 3), down=st.booleans())
    def set_faults(self, lost, late, down):
        self.table.faults.lose_answers = lost
        self.table.faults.late_commits = late
        self.table.faults.down = down

    @rule()
    def deliver_late_commits(self):
        self.table.deliver_late_commits()

    @rule(dead=ENTRY_INDEXES, successor=ENTRY_INDEXES)
    def take_over(self, dead, successor):
        if dead != successor:
            self._run(self._take_over(dead, successor))

    async def _take_over(self, dead, successor):
        directory = ShardDirectory(self.table, retention_s=900)
        takeover = directory.take_over(
            IDENTITIES[dead].incarnation, IDENTITIES[successor]
        )
        await asyncio.gather(takeover, return_exceptions=True)

    @invariant()
    def fenced_journals_stay_unchanged_and_hold_every_started_request(self):
        rows = self.table._rows
        for identity in IDENTITIES:
            fenced_incarnation = identity.incarnation
            if rows[f'entry/{fenced_incarnation}'].version == 1:
                continue
            keys = [
                key for key in rows if key.startswith(f'journal/{fenced_incarnation}/')
            ]
            assert self.keys_at_fence.setdefault(fenced_incarnation, keys) == keys
            self._run(self._check_recovery(fenced_incarnation))

    async def _check_recovery(self, fenced_incarnation):
        faults, self.table.faults = self.table.faults, type(self.table.faults)()
        batches = await read_journal(self.table, fenced_incarnation)
        self.table.faults = faults
        recorded = {record.sequence for batch in batches for record in batch.records}
        assert recorded >= set(self.started[fenced_incarnation])
        for sequence, agents_used in self.started[fenced_incarnation].items():
            assert find_possible_agents(batches, sequence) >= agents_used

    @invariant()
    def shards_belong_to_live_entries(self):
        row = self.table._rows['shards']
        assert all(
            self.table._rows[f'entry/{owner}'].version == 1
            for owner in self._read_owners(row)
        )

    def _read_owners(self, row):
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
