"""Records and agent changes that wait for the next write of a journal."""

import asyncio
from collections.abc import Callable
from itertools import islice
from typing import Final

from endivetally_table.batches import JournalBatch
from endivetally_table.batches import JournalRecord

# Maximum number of records in one row of the journal.
MAX_RECORDS_PER_BATCH: Final = 256

Waiter = asyncio.Future[None]


class PendingBatch:
    """Queue of records and agent changes, with a future for each waiting call.

    No call waits for a removal of agents: removals alone do not start a write, but
    are included in the next batch.
    """

    def __init__(self) -> None:
        self._records: dict[Waiter, JournalRecord] = {}
        self._agent_waiters: list[Waiter] = []
        self._admitted: frozenset[str] = frozenset()
        self._removed: frozenset[str] = frozenset()

    def __bool__(self) -> bool:
        """Return whether a call waits for the next write."""
        return bool(self._records or self._agent_waiters)

    @property
    def record_count(self) -> int:
        """Number of records that wait."""
        return len(self._records)

    @property
    def agents_removed(self) -> frozenset[str]:
        """Agents whose removal is not yet written."""
        return self._removed

    def add_record(self, record: JournalRecord) -> Waiter:
        """Queue a record; the future is done when the record is durable."""
        waiter = _create_waiter()
        self._records[waiter] = record
        return waiter

    def admit_agents(self, incarnations: frozenset[str]) -> Waiter:
        """Queue the admission of agents; the future is done when it is durable."""
        waiter = _create_waiter()
        self._agent_waiters.append(waiter)
        self._admitted |= incarnations
        return waiter

    def remove_agents(self, incarnations: frozenset[str]) -> None:
        """Queue the removal of agents and cancel their queued admission."""
        self._admitted -= incarnations
        self._removed |= incarnations

    def split_batch(self) -> 'PendingBatch':
        """Move what fits into one write to a new object, oldest records first."""
        next_batch = PendingBatch()
        for waiter in list(islice(self._records, MAX_RECORDS_PER_BATCH)):
            next_batch._records[waiter] = self._records.pop(waiter)
        next_batch._set_agents(self._agent_waiters, self._admitted, self._removed)
        self._set_agents([], frozenset(), frozenset())
        return next_batch

    def to_batch(self, write_id: str) -> JournalBatch:
        """Return the content of the journal row to write."""
        return JournalBatch(
            records=tuple(self._records.values()),
            agents_admitted=tuple(sorted(self._admitted)),
            agents_removed=tuple(sorted(self._removed)),
            write_id=write_id,
        )

    def succeed(self) -> None:
        """Complete all futures: the batch is durable."""
        for waiter in self._unfinished_waiters():
            waiter.set_result(None)

    def fail(self, create_error: Callable[[], Exception]) -> None:
        """Fail all futures: no request in the batch may start.

        :param create_error: called for each future, so that none share an exception.
        """
        for waiter in self._unfinished_waiters():
            waiter.set_exception(create_error())

    def _set_agents(
        self, waiters: list[Waiter], admitted: frozenset[str], removed: frozenset[str]
    ) -> None:
        self._agent_waiters = waiters
        self._admitted = admitted
        self._removed = removed

    def _unfinished_waiters(self) -> list[Waiter]:
        waiters = [*self._records, *self._agent_waiters]
        return [waiter for waiter in waiters if not waiter.done()]


def _create_waiter() -> Waiter:
    return asyncio.get_running_loop().create_future()
