"""Counts of good and bad responses by service, for the error budget burn report.

Each entry keeps a ring buffer of short time buckets for every service and serves
a `BurnSnapshot` at ``/v1/burn``. Responses to errors of the caller, such as a
malformed request or an exceeded quota, consume no error budget and are not counted.
"""

import time
from array import array
from collections.abc import Callable
from typing import Final
from typing import Protocol

import msgspec

from endivetally_core.errors import ErrorKind

BUCKET_S: Final = 10
# Number of buckets in each ring buffer; together they cover six hours.
RING_BUCKETS: Final = 2160

# Code of a successful response that took longer than the objective allows.
SLOW: Final = 'slow'

CALLER_ERRORS: Final = frozenset(
    (
        ErrorKind.MALFORMED_REQUEST,
        ErrorKind.BODY_TOO_LARGE,
        ErrorKind.MISSING_KEY,
        ErrorKind.KEY_CONFLICT,
        ErrorKind.UNAUTHORISED,
        ErrorKind.UNKNOWN_SERVICE,
        ErrorKind.UNKNOWN_JOB,
        ErrorKind.INVALID_JOB_SIZE,
        ErrorKind.CANNOT_RUN,
        ErrorKind.DEADLINE_PASSED,
        ErrorKind.QUOTA_EXCEEDED,
        ErrorKind.CANCELLED,
        ErrorKind.CONFIG_INVALID,
        ErrorKind.CONFIG_CONFLICT,
    ),
)


class ServiceObjective(Protocol):
    """Service-level objective, as declared in the operators' configuration."""

    @property
    def availability(self) -> float:
        """Fraction of requests that must be good, between 0 and 1."""

    @property
    def response_ms(self) -> int:
        """Longest response time of a good response, in milliseconds."""


class BurnBucket(msgspec.Struct, frozen=True, array_like=True):
    """Responses of one service within `BUCKET_S` seconds.

    :param start_s: start of the bucket, in seconds since the epoch.
    :param good: number of responses that met the objective.
    :param bad: number of responses that consumed error budget, by error code or
        `SLOW`.
    """

    start_s: int
    good: int
    bad: dict[str, int]


class ServiceBurn(msgspec.Struct, frozen=True):
    """Counts of one service, with the objective that applied to its last response.

    :param availability: fraction of requests that must be good, between 0 and 1.
    :param response_ms: longest response time of a good response, in milliseconds.
    :param buckets: buckets with at least one response, oldest first.
    """

    service: str
    availability: float
    response_ms: int
    buckets: list[BurnBucket]


class BurnSnapshot(msgspec.Struct, frozen=True):
    """Response of ``/v1/burn``.

    :param entry: name of the entry.
    :param version: version of the configuration in use at the entry.
    :param now_s: time of the snapshot, in seconds since the epoch.
    """

    entry: str
    version: int
    now_s: float
    services: list[ServiceBurn]


class BurnRecorder:
    """Counts the responses of one entry over the last six hours, by service.

    :param clock: returns seconds since the epoch, so that the buckets of several
        entries can be merged.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._services: dict[str, _ServiceRing] = {}

    def record_response(
        self,
        service: str,
        kind: ErrorKind | None,
        seconds: float,
        objective: ServiceObjective,
    ) -> None:
        """Count one response, unless the caller caused its error.

        :param kind: kind of the error; ``None`` for a complete result.
        :param seconds: response time, in seconds.
        :param objective: current objective of the service.
        """
        if kind in CALLER_ERRORS:
            return
        ring = self._services.get(service)
        if ring is None:
            ring = _ServiceRing()
            self._services[service] = ring
        ring.objective = objective
        code = '' if kind is None else kind.value
        if kind is None and seconds * 1000 > objective.response_ms:
            code = SLOW
        ring.increment(int(self._clock()) // BUCKET_S, code)

    def snapshot(self, entry: str, version: int) -> BurnSnapshot:
        """Return the counts of the last six hours."""
        now_s = self._clock()
        oldest = int(now_s) // BUCKET_S - RING_BUCKETS + 1
        services = [
            ServiceBurn(
                name,
                ring.objective.availability,
                ring.objective.response_ms,
                ring.list_buckets(oldest),
            )
            for name, ring in self._services.items()
            if ring.objective is not None
        ]
        return BurnSnapshot(entry, version, now_s, services)


class _ServiceRing:
    """Ring buffer of one service; a slot is cleared when another bucket reuses it."""

    def __init__(self) -> None:
        self.objective: ServiceObjective | None = None
        self._bucket_numbers = array('q', bytes(RING_BUCKETS * 8))
        self._good = _make_counts()
        self._bad: dict[str, array[int]] = {}

    def increment(self, bucket_number: int, code: str) -> None:
        """Count a response in a bucket; an empty code means a good response."""
        slot = bucket_number % RING_BUCKETS
        if self._bucket_numbers[slot] != bucket_number:
            self._bucket_numbers[slot] = bucket_number
            for counts in (self._good, *self._bad.values()):
                counts[slot] = 0
        if not code:
            self._good[slot] += 1
            return
        if code not in self._bad:
            self._bad[code] = _make_counts()
        self._bad[code][slot] += 1

    def list_buckets(self, oldest: int) -> list[BurnBucket]:
        """Return the buckets from number ``oldest`` on, in chronological order."""
        slots = sorted(
            (bucket_number, slot)
            for slot, bucket_number in enumerate(self._bucket_numbers)
            if bucket_number >= max(oldest, 1)
        )
        return [self._make_bucket(bucket_number, slot) for bucket_number, slot in slots]

    def _make_bucket(self, bucket_number: int, slot: int) -> BurnBucket:
        bad = {code: counts[slot] for code, counts in self._bad.items() if counts[slot]}
        return BurnBucket(bucket_number * BUCKET_S, self._good[slot], bad)


def _make_counts() -> 'array[int]':
    return array('I', bytes(RING_BUCKETS * array('I').itemsize))
