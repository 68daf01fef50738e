"""Counts of good and bad answers by service, for the service-level burn report.

Each entry keeps one ring of short buckets for every service and serves its
`BurnSnapshot` at ``/v1/burn``. Answers that end with a fault of the caller, such
as a malformed request or a passed quota, spend no error budget and are left out.
"""

import time
from array import array
from collections.abc import Callable
from typing import Final
from typing import Protocol

import msgspec

from endivetally_core.errors import ErrorKind

BUCKET_S: Final = 10
RING_BUCKETS: Final = 2160

# Kind of a whole answer that came later than the objective allows.
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
    """Service-level objective, as the operators' text declares it."""

    @property
    def availability(self) -> float:
        """Share of requests that must be good, between 0 and 1."""

    @property
    def response_ms(self) -> int:
        """Longest response time of a good answer."""


class BurnBucket(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one service within `BUCKET_S` seconds.

    :param start_s: seconds since the epoch.
    :param bad: answers that spent error budget, by error code or `SLOW`.
    """

    start_s: int
    good: int
    bad: dict[str, int]


class ServiceBurn(msgspec.Struct, frozen=True):
    """Counts of one service with the objective that was last in force."""

    service: str
    availability: float
    response_ms: int
    buckets: list[BurnBucket]


class BurnSnapshot(msgspec.Struct, frozen=True):
    """Answer of ``/v1/burn``.

    :param entry: name of the entry.
    :param version: version of the operators' text at the entry.
    :param now_s: seconds since the epoch.
    """

    entry: str
    version: int
    now_s: float
    services: list[ServiceBurn]


class BurnRecorder:
    """Counts of all services of one entry over the last six hours.

    :param clock: seconds since the epoch, by which entries are merged.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._services: dict[str, _ServiceRing] = {}

    def record(
        self,
        service: str,
        kind: ErrorKind | None,
        seconds: float,
        objective: ServiceObjective,
    ) -> None:
        """Count one answer.

        :param kind: ``None`` for a whole answer.
        :param seconds: response time.
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
        ring.count(int(self._clock()) // BUCKET_S, code)

    def snapshot(self, entry: str, version: int) -> BurnSnapshot:
        """Return the counts that are not older than the ring."""
        now_s = self._clock()
        oldest = int(now_s) // BUCKET_S - RING_BUCKETS + 1
        services = [
            ServiceBurn(
                name,
                ring.objective.availability,
                ring.objective.response_ms,
                ring.read(oldest),
            )
            for name, ring in self._services.items()
            if ring.objective is not None
        ]
        return BurnSnapshot(entry, version, now_s, services)


class _ServiceRing:
    """Ring of one service; a slot is cleared when its bucket number changes."""

    def __init__(self) -> None:
        self.objective: ServiceObjective | None = None
        self._numbers = array('q', bytes(RING_BUCKETS * 8))
        self._good = _new_counts()
        self._bad: dict[str, array[int]] = {}

    def count(self, number: int, code: str) -> None:
        """Count an answer in a bucket; an empty code is a good one."""
        slot = number % RING_BUCKETS
        if self._numbers[slot] != number:
            self._numbers[slot] = number
            for counts in (self._good, *self._bad.values()):
                counts[slot] = 0
        if not code:
            self._good[slot] += 1
            return
        if code not in self._bad:
            self._bad[code] = _new_counts()
        self._bad[code][slot] += 1

    def read(self, oldest: int) -> list[BurnBucket]:
        """Return the buckets from a bucket number on, oldest first."""
        slots = sorted(
            (number, slot)
            for slot, number in enumerate(self._numbers)
            if number >= max(oldest, 1)
        )
        return [self._read_slot(number, slot) for number, slot in slots]

    def _read_slot(self, number: int, slot: int) -> BurnBucket:
        bad = {code: counts[slot] for code, counts in self._bad.items() if counts[slot]}
        return BurnBucket(number * BUCKET_S, self._good[slot], bad)


def _new_counts() -> 'array[int]':
    return array('I', bytes(RING_BUCKETS * array('I').itemsize))
