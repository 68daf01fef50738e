"""What the journal of a former owner tells about its requests."""

from collections.abc import AsyncIterable
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalRecord


@dataclass(frozen=True, slots=True)
class _AgentChange:
    """Agents that a batch added, and all that are admitted after it."""

    position: int
    added: frozenset[str]
    after: frozenset[str]


class JournalIndex:
    """Index of one journal, built batch by batch.

    :param keep: which entries to remember; all by default.
    """

    def __init__(self, keep: Callable[[JournalRecord], bool] | None = None) -> None:
        self._keep = keep
        self._batches = 0
        self._entries: dict[tuple[str, str], tuple[JournalRecord, ...]] = {}
        self._positions: dict[int, int] = {}
        self._changes: list[_AgentChange] = []

    @classmethod
    async def build(
        cls,
        batches: AsyncIterable[JournalBatch],
        keep: Callable[[JournalRecord], bool] | None = None,
    ) -> 'JournalIndex':
        """Build the index of a journal that is read in pages.

        :raises TableUnavailable: when the service does not answer.
        """
        history = cls(keep)
        async for batch in batches:
            history.add(batch)
        return history

    @property
    def entries(self) -> Iterable[JournalRecord]:
        """All remembered entries; those of one key in the order of the journal."""
        for same_key in self._entries.values():
            yield from same_key

    def find_records(self, team: str, key: str) -> tuple[JournalRecord, ...]:
        """Return the entries of a caller's key, oldest first."""
        return self._entries.get((team, key), ())

    def add(self, batch: JournalBatch) -> None:
        """Append the next batch."""
        for entry in batch.entries:
            if self._keep is None or self._keep(entry):
                self._add_entry(entry)
        if batch.agents_added or batch.agents_removed:
            self._add_change(batch)
        self._batches += 1

    def possible_agents(self, sequence: int) -> frozenset[str]:
        """Return the agents that may have been given tasks of a request.

        These are the agents admitted at its batch and all that were added later.
        Agents removed by its own batch count too. A sequence that is not in the
        journal has none.
        """
        position = self._positions.get(sequence)
        if position is None:
            return frozenset()
        in_use: frozenset[str] = frozenset()
        for change in self._changes:
            if change.position < position:
                in_use = change.after
            else:
                in_use |= change.added
        return in_use

    def _add_entry(self, entry: JournalRecord) -> None:
        name = (entry.team, entry.key)
        self._entries[name] = (*self._entries.get(name, ()), entry)
        self._positions[entry.sequence] = self._batches

    def _add_change(self, batch: JournalBatch) -> None:
        before = self._changes[-1].after if self._changes else frozenset()
        added = frozenset(batch.agents_added)
        after = before.difference(batch.agents_removed) | added
        self._changes.append(_AgentChange(self._batches, added, after))


def possible_agents(batches: Iterable[JournalBatch], sequence: int) -> frozenset[str]:
    """Return the agents that may have been given tasks of a request.

    `JournalIndex.possible_agents` serves many requests of one journal.
    """
    history = JournalIndex()
    for batch in batches:
        history.add(batch)
    return history.possible_agents(sequence)
