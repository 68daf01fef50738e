"""Index of the requests and admitted agents in the journal of a former owner."""

from collections.abc import AsyncIterable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalRecord


@dataclass(frozen=True, slots=True)
class _AgentChange:
    """Change of the admitted agents by one batch.

    :param position: position of the batch in the journal, from 0.
    :param added: agents that the batch admitted.
    :param admitted: all agents that are admitted after the batch.
    """

    position: int
    added: frozenset[str]
    admitted: frozenset[str]


class JournalIndex:
    """Index of one journal, built batch by batch.

    :param keep: returns whether to keep a record; ``None`` keeps all.
    """

    def __init__(self, keep: Callable[[JournalRecord], bool] | None = None) -> None:
        self._keep = keep
        self._batch_count = 0
        self._records: dict[tuple[str, str], tuple[JournalRecord, ...]] = {}
        self._positions: dict[int, int] = {}
        self._changes: list[_AgentChange] = []

    @classmethod
    async def build(
        cls,
        batches: AsyncIterable[JournalBatch],
        keep: Callable[[JournalRecord], bool] | None = None,
    ) -> 'JournalIndex':
        """Build the index from an iterator of batches, in the order of the journal.

        :raises TableUnavailable: when the service does not respond.
        """
        index = cls(keep)
        async for batch in batches:
            index.add_batch(batch)
        return index

    @property
    def records(self) -> Iterable[JournalRecord]:
        """All kept records; those of one key are in the order of the journal."""
        for same_key in self._records.values():
            yield from same_key

    def find_records(self, team: str, key: str) -> tuple[JournalRecord, ...]:
        """Return the records of a team's idempotency key, oldest first."""
        return self._records.get((team, key), ())

    def add_batch(self, batch: JournalBatch) -> None:
        """Add the next batch to the index."""
        for record in batch.records:
            if self._keep is None or self._keep(record):
                self._add_record(record)
        if batch.agents_admitted or batch.agents_removed:
            self._add_change(batch)
        self._batch_count += 1

    def find_possible_agents(self, sequence: int) -> frozenset[str]:
        """Return the agents that tasks of a request may have been sent to.

        These are the agents admitted before its batch, including those that the
        batch itself removed, and all agents admitted in that batch or later. The
        result is empty when the sequence is not in the index.
        """
        position = self._positions.get(sequence)
        if position is None:
            return frozenset()
        agents: frozenset[str] = frozenset()
        for change in self._changes:
            if change.position < position:
                agents = change.admitted
            else:
                agents |= change.added
        return agents

    def _add_record(self, record: JournalRecord) -> None:
        name = (record.team, record.key)
        self._records[name] = (*self._records.get(name, ()), record)
        self._positions[record.sequence] = self._batch_count

    def _add_change(self, batch: JournalBatch) -> None:
        before = self._changes[-1].admitted if self._changes else frozenset()
        added = frozenset(batch.agents_admitted)
        admitted = before.difference(batch.agents_removed) | added
        self._changes.append(_AgentChange(self._batch_count, added, admitted))


def find_possible_agents(
    batches: Iterable[JournalBatch], sequence: int
) -> frozenset[str]:
    """Return the agents that tasks of a request may have been sent to.

    For several requests of one journal, build a `JournalIndex` once instead.
    """
    index = JournalIndex()
    for batch in batches:
        index.add_batch(batch)
    return index.find_possible_agents(sequence)
