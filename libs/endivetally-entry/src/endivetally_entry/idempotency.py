"""Stores the outcome of keyed requests, so that a key runs only once."""

import asyncio
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError

from endivetally_entry.execution import Execution
from endivetally_entry.requests import Response
from endivetally_entry.requests import ScopedKey
from endivetally_entry.requests import error_response


@dataclass(slots=True)
class IdempotencyRecord:
    """A keyed request and its response, which is pending while the request runs.

    :param execution: set while tasks run.
    :param journalled: whether the request is in this entry's journal, so that its
        tasks may have started.
    :param refused_before: whether an earlier submission of the key was journalled
        and then refused before any task started.
    :param cancelled: whether the caller cancelled the request.
    :param finished_at: time on the event loop's clock.
    """

    scoped_key: ScopedKey
    body_hash: bytes
    response: 'asyncio.Future[Response]' = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )
    execution: Execution | None = None
    journalled: bool = False
    refused_before: bool = False
    cancelled: bool = False
    finished_at: float = 0


class IdempotencyCache:
    """Records of keyed requests by key, kept for the retention period.

    :param retention_s: how long a finished request is kept.
    :param max_body_bytes: limit for the bodies of all successful responses; above
        it the oldest bodies are evicted, and later submissions of their keys fail
        with ``answer_lost``.
    """

    def __init__(self, retention_s: float, max_body_bytes: int) -> None:
        self.evicted_body_count = 0
        self._retention_s = retention_s
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._records_with_body: deque[IdempotencyRecord] = deque()
        self._records: dict[ScopedKey, IdempotencyRecord] = {}
        self._refused_at: dict[ScopedKey, float] = {}

    @property
    def in_progress_count(self) -> int:
        """Number of requests that have no response yet."""
        return sum(not record.response.done() for record in self._records.values())

    @property
    def body_bytes(self) -> int:
        """Total size of the cached response bodies."""
        return self._body_bytes

    @property
    def record_count(self) -> int:
        """Number of records, running and finished."""
        return len(self._records)

    def find(self, scoped_key: ScopedKey, body_hash: bytes) -> IdempotencyRecord | None:
        """Return the record of a key and check that the body is the same.

        :raises RequestError: when the key was used with another body.
        """
        record = self._records.get(scoped_key)
        if record is not None and record.body_hash != body_hash:
            raise RequestError(
                ErrorKind.KEY_CONFLICT,
                'the key was used with another body',
            )
        return record

    def get(self, scoped_key: ScopedKey) -> IdempotencyRecord | None:
        """Return the record of a key without a check of the body."""
        return self._records.get(scoped_key)

    def create_record(
        self, scoped_key: ScopedKey, body_hash: bytes
    ) -> IdempotencyRecord:
        """Create the record of a request that is about to run."""
        record = IdempotencyRecord(scoped_key, body_hash)
        # The new submission may start tasks, so the key no longer counts as refused.
        record.refused_before = self._refused_at.pop(scoped_key, None) is not None
        self._records[scoped_key] = record
        return record

    def record_response(
        self, record: IdempotencyRecord, response: Response, *, keep: bool
    ) -> None:
        """Set the response of a request.

        :param keep: respond to later submissions of the key with it; otherwise
            the key may be submitted anew.
        """
        record.finished_at = asyncio.get_running_loop().time()
        record.execution = None
        if not keep:
            self._records.pop(record.scoped_key, None)
            if record.journalled or record.refused_before:
                self._refused_at[record.scoped_key] = record.finished_at
        if not record.response.done():
            record.response.set_result(response)
        if keep and response.error_kind is None:
            self._retain_body(record, response)

    def abandon_record(
        self, record: IdempotencyRecord, error: EndivetallyError
    ) -> None:
        """Remove a record whose key another entry owns now."""
        self._records.pop(record.scoped_key, None)
        record.execution = None
        if record.refused_before and not record.journalled:
            self._refused_at[record.scoped_key] = asyncio.get_running_loop().time()
        if not record.response.done():
            record.response.set_exception(error)

    def was_refused_before_start(self, scoped_key: ScopedKey) -> bool:
        """Return whether the key was journalled here but no task ever started."""
        return scoped_key in self._refused_at

    def prune(self) -> None:
        """Remove records, bodies and refusals older than the retention period."""
        oldest = asyncio.get_running_loop().time() - self._retention_s
        expired = [
            scoped_key
            for scoped_key, record in self._records.items()
            if record.response.done() and record.finished_at < oldest
        ]
        for expired_key in expired:
            self._records.pop(expired_key)
        while (
            self._records_with_body and self._records_with_body[0].finished_at < oldest
        ):
            self._release_body(self._records_with_body.popleft())
        self._refused_at = {
            refused_key: refused_at
            for refused_key, refused_at in self._refused_at.items()
            if refused_at >= oldest
        }

    def _retain_body(self, record: IdempotencyRecord, response: Response) -> None:
        self._records_with_body.append(record)
        self._body_bytes += len(response.body)
        while self._body_bytes > self._max_body_bytes:
            evicted = self._records_with_body.popleft()
            self._release_body(evicted)
            self.evicted_body_count += 1
            lost = RequestError(ErrorKind.RESULT_LOST)
            evicted.response = _completed_future(error_response(lost))

    def _release_body(self, record: IdempotencyRecord) -> None:
        self._body_bytes -= len(record.response.result().body)


def _completed_future(response: Response) -> 'asyncio.Future[Response]':
    future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
    future.set_result(response)
    return future
