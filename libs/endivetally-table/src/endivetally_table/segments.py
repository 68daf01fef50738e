"""Which batches of a journal may be pruned, in bounded memory."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import batch_key
from endivetally_table.batches import encode_batch
from endivetally_table.table import Put

MAX_BATCHES_PER_SEGMENT: Final = 128


@dataclass(slots=True)
class Segment:
    """A run of batches that is pruned at once.

    :param newest: wall time of its newest entry.
    :param closed: takes no more batches.
    """

    first: int
    last: int
    newest: float = 0
    closed: bool = False
    added: set[str] = field(default_factory=set)
    removed: set[str] = field(default_factory=set)

    def include(self, number: int, batch: JournalBatch) -> None:
        """Append a batch to the run."""
        self.last = number
        self.newest = max([self.newest, *(row.written_at for row in batch.entries)])
        for agent in batch.agents_removed:
            self.added.discard(agent)
            self.removed.add(agent)
        for agent in batch.agents_added:
            self.removed.discard(agent)
            self.added.add(agent)


@dataclass(frozen=True, slots=True)
class Pruning:
    """Writes that replace the oldest segment by one row of its agents.

    :param last: number of the row that stays.
    :param admitted: agents admitted after the segment.
    """

    last: int
    puts: tuple[Put, ...]
    admitted: frozenset[str]

    @property
    def deleted(self) -> int:
        """Number of rows that go."""
        return sum(put.content is None for put in self.puts)


class SegmentLog:
    """Numbers and ages of the batches of one journal.

    :param incarnation: the writer.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._segments: deque[Segment] = deque()
        self._admitted: frozenset[str] = frozenset()
        self._snapshot: int | None = None

    def append(self, number: int, batch: JournalBatch) -> None:
        """Remember a batch that is durable."""
        if not self._segments or self._is_full(self._segments[-1]):
            self._segments.append(Segment(number, number))
        self._segments[-1].include(number, batch)

    def plan(self, older_than: float) -> Pruning | None:
        """Return the writes that prune the oldest segment, if it is old."""
        if not self._segments or self._segments[0].newest >= older_than:
            return None
        oldest = self._segments[0]
        oldest.closed = True
        admitted = (self._admitted - oldest.removed) | oldest.added
        return Pruning(oldest.last, self._puts(oldest, admitted), admitted)

    def prune(self, pruning: Pruning) -> None:
        """Forget the oldest segment, once its pruning is durable."""
        if self._segments and self._segments[0].last == pruning.last:
            self._snapshot = self._segments.popleft().last
            self._admitted = pruning.admitted

    def _puts(self, oldest: Segment, admitted: frozenset[str]) -> tuple[Put, ...]:
        numbers = list(range(oldest.first, oldest.last))
        if self._snapshot is not None:
            numbers.insert(0, self._snapshot)
        kept = JournalBatch((), tuple(sorted(admitted)), (), 'pruned')
        deletions = [Put(batch_key(self._incarnation, row), None) for row in numbers]
        snapshot = Put(batch_key(self._incarnation, oldest.last), encode_batch(kept))
        return (*deletions, snapshot)

    def _is_full(self, segment: Segment) -> bool:
        length = segment.last - segment.first + 1
        return segment.closed or length >= MAX_BATCHES_PER_SEGMENT
