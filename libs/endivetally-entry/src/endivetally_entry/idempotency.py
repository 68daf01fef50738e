"""Memory of the keyed requests that this entry owns or owned."""

import asyncio
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError

from endivetally_entry.execution import Execution
from endivetally_entry.requests import Answer
from endivetally_entry.requests import KeyName
from endivetally_entry.requests import error_answer


@dataclass(slots=True)
class KeyRecord:
    """A keyed request and, once it has one, its answer.

    :param execution: set while tasks run.
    :param journalled: tasks may have started under this entry's name.
    :param refused: an earlier run of the key was journalled and never started.
    :param cancelled: the caller wants no run any more.
    :param finished_at: time on the event loop's clock.
    """

    name: KeyName
    body_hash: bytes
    answer: 'asyncio.Future[Answer]' = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )
    execution: Execution | None = None
    journalled: bool = False
    refused: bool = False
    cancelled: bool = False
    finished_at: float = 0


class KeyLedger:
    """Records by key, forgotten after the retention.

    :param retention_s: how long an answer is remembered.
    :param max_body_bytes: bodies held at once; beyond it the oldest are dropped
        and their keys are answered ``answer_lost``.
    """

    def __init__(self, retention_s: float, max_body_bytes: int) -> None:
        self.dropped_bodies = 0
        self._retention_s = retention_s
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._bodies: deque[KeyRecord] = deque()
        self._records: dict[KeyName, KeyRecord] = {}
        self._never_started: dict[KeyName, float] = {}

    @property
    def in_progress(self) -> int:
        """Requests without an answer."""
        return sum(not record.answer.done() for record in self._records.values())

    @property
    def body_bytes(self) -> int:
        """Bytes of all remembered bodies."""
        return self._body_bytes

    @property
    def remembered(self) -> int:
        """All records."""
        return len(self._records)

    def find(self, name: KeyName, body_hash: bytes) -> KeyRecord | None:
        """Return the record of a key.

        :raises RequestError: when the key came with another body before.
        """
        record = self._records.get(name)
        if record is not None and record.body_hash != body_hash:
            raise RequestError(
                ErrorKind.KEY_CONFLICT,
                'the key was used with another body',
            )
        return record

    def get(self, name: KeyName) -> KeyRecord | None:
        """Return the record of a key, whatever its body."""
        return self._records.get(name)

    def open(self, name: KeyName, body_hash: bytes) -> KeyRecord:
        """Start a record."""
        record = KeyRecord(name, body_hash)
        # From now on tasks may start again.
        record.refused = self._never_started.pop(name, None) is not None
        self._records[name] = record
        return record

    def finish(self, record: KeyRecord, answer: Answer, *, remember: bool) -> None:
        """Set the answer; without ``remember`` the key may come again."""
        record.finished_at = asyncio.get_running_loop().time()
        record.execution = None
        if not remember:
            self._records.pop(record.name, None)
            if record.journalled or record.refused:
                self._never_started[record.name] = record.finished_at
        if not record.answer.done():
            record.answer.set_result(answer)
        if remember and answer.kind is None:
            self._hold_body(record, answer)

    def abandon(self, record: KeyRecord, error: EndivetallyError) -> None:
        """Forget a record whose key another entry owns now."""
        self._records.pop(record.name, None)
        record.execution = None
        if record.refused and not record.journalled:
            self._never_started[record.name] = asyncio.get_running_loop().time()
        if not record.answer.done():
            record.answer.set_exception(error)

    def has_refused(self, name: KeyName) -> bool:
        """Return whether a journalled request was refused before any start."""
        return name in self._never_started

    def prune(self) -> None:
        """Forget answers past the retention."""
        oldest = asyncio.get_running_loop().time() - self._retention_s
        expired = [
            name
            for name, record in self._records.items()
            if record.answer.done() and record.finished_at < oldest
        ]
        for name in expired:
            self._records.pop(name)
        while self._bodies and self._bodies[0].finished_at < oldest:
            self._forget_body(self._bodies.popleft())
        self._never_started = {
            refused: refused_at
            for refused, refused_at in self._never_started.items()
            if refused_at >= oldest
        }

    def _hold_body(self, record: KeyRecord, answer: Answer) -> None:
        self._bodies.append(record)
        self._body_bytes += len(answer.body)
        while self._body_bytes > self._max_body_bytes:
            dropped = self._bodies.popleft()
            self._forget_body(dropped)
            self.dropped_bodies += 1
            lost = RequestError(ErrorKind.RESULT_LOST)
            dropped.answer = _answered(error_answer(lost))

    def _forget_body(self, record: KeyRecord) -> None:
        self._body_bytes -= len(record.answer.result().body)


def _answered(answer: Answer) -> 'asyncio.Future[Answer]':
    future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    future.set_result(answer)
    return future
