"""Selects the batches of a journal to prune.

Memory is bounded, since a segment keeps only a summary of its batches.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import batch_key
from endivetally_table.batches import encode_batch
from endivetally_table.table import Put

# Limits the number of rows that one pruning transaction deletes.
MAX_BATCHES_PER_SEGMENT: Final = 128


@dataclass(slots=True)
class Segment:
    """Consecutive batches that are pruned together.

    :param first_number: number of the first batch.
    :param last_number: number of the last batch.
    :param newest_record_at: wall time of the newest record, in seconds since the
        epoch.
    :param is_closed: whether no more batches may be added to it.
    :param admitted: agents that were admitted and not removed after that.
    :param removed: agents that were removed and not admitted after that.
    """

    first_number: int
    last_number: int
    newest_record_at: float = 0
    is_closed: bool = False
    admitted: set[str] = field(default_factory=set)
    removed: set[str] = field(default_factory=set)

    def add_batch(self, number: int, batch: JournalBatch) -> None:
        """Add the next batch."""
        self.last_number = number
        self.newest_record_at = max(
            [self.newest_record_at, *(record.written_at for record in batch.records)]
        )
        for agent in batch.agents_removed:
            self.admitted.discard(agent)
            self.removed.add(agent)
        for agent in batch.agents_admitted:
            self.removed.discard(agent)
            self.admitted.add(agent)


@dataclass(frozen=True, slots=True)
class Pruning:
    """Puts that replace the oldest segment by one row with the admitted agents.

    :param last_number: number of that row, which is the segment's last batch.
    :param admitted: agents that are admitted after the segment.
    """

    last_number: int
    puts: tuple[Put, ...]
    admitted: frozenset[str]

    @property
    def deleted_row_count(self) -> int:
        """Number of rows that the puts delete."""
        return sum(put.content is None for put in self.puts)


class SegmentLog:
    """Groups the durable batches of one journal into segments for pruning.

    :param incarnation: entry that writes the journal.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._segments: deque[Segment] = deque()
        self._admitted: frozenset[str] = frozenset()
        self._snapshot_number: int | None = None

    def append_batch(self, number: int, batch: JournalBatch) -> None:
        """Add a batch that is durable."""
        if not self._segments or self._is_full(self._segments[-1]):
            self._segments.append(Segment(number, number))
        self._segments[-1].add_batch(number, batch)

    def plan_pruning(self, older_than: float) -> Pruning | None:
        """Return the puts that prune the oldest segment.

        Returns ``None`` when the segment has a record that is not older than the
        given wall time. Otherwise closes the segment, so that the puts stay valid.

        :param older_than: seconds since the epoch.
        """
        if not self._segments or self._segments[0].newest_record_at >= older_than:
            return None
        oldest = self._segments[0]
        oldest.is_closed = True
        admitted = (self._admitted - oldest.removed) | oldest.admitted
        return Pruning(
            oldest.last_number, self._create_puts(oldest, admitted), admitted
        )

    def remove_pruned(self, pruning: Pruning) -> None:
        """Remove the oldest segment, once its pruning is durable."""
        if self._segments and self._segments[0].last_number == pruning.last_number:
            self._snapshot_number = self._segments.popleft().last_number
            self._admitted = pruning.admitted

    def _create_puts(
        self, oldest: Segment, admitted: frozenset[str]
    ) -> tuple[Put, ...]:
        numbers = list(range(oldest.first_number, oldest.last_number))
        if self._snapshot_number is not None:
            numbers.insert(0, self._snapshot_number)
        snapshot_batch = JournalBatch((), tuple(sorted(admitted)), (), 'pruned')
        deletions = [
            Put(batch_key(self._incarnation, batch_number), None)
            for batch_number in numbers
        ]
        snapshot_put = Put(
            batch_key(self._incarnation, oldest.last_number),
            encode_batch(snapshot_batch),
        )
        return (*deletions, snapshot_put)

    def _is_full(self, segment: Segment) -> bool:
        length = segment.last_number - segment.first_number + 1
        return segment.is_closed or length >= MAX_BATCHES_PER_SEGMENT
