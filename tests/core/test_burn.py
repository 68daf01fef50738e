"""Tests of the ring behind the service-level burn report."""

from dataclasses import dataclass

import msgspec
import pytest
from endivetally_core.burn import BUCKET_S
from endivetally_core.burn import RING_BUCKETS
from endivetally_core.burn import SLOW
from endivetally_core.burn import BurnBucket
from endivetally_core.burn import BurnRecorder
from endivetally_core.burn import BurnSnapshot
from endivetally_core.errors import ErrorKind

START_S = 1_000_000


@dataclass(frozen=True)
class _Objective:
    availability: float = 0.99
    response_ms: int = 1000


class _Clock:
    def __init__(self):
        self.now_s = START_S

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return _Clock()


@pytest.fixture
def ring(clock):
    return BurnRecorder(clock)


def _buckets(ring):
    (service,) = ring.snapshot('entry-1', 3).services
    return service.buckets


class TestRecord:
    @pytest.mark.parametrize(
        ('kind', 'seconds', 'good', 'bad'),
        [
            (None, 1, 1, {}),
            (None, 1.1, 0, {SLOW: 1}),
            (ErrorKind.OVERLOADED, 0, 0, {'overloaded': 1}),
            (ErrorKind.TASK_FAILED, 9, 0, {'task_failed': 1}),
        ],
    )
    def test_outcomes(self, ring, kind, seconds, good, bad):
        ring.record('lookup', kind, seconds, _Objective())
        assert _buckets(ring) == [BurnBucket(START_S, good, bad)]

    @pytest.mark.parametrize(
        'kind',
        [ErrorKind.MALFORMED_REQUEST, ErrorKind.QUOTA_EXCEEDED, ErrorKind.CANCELLED],
    )
    def test_faults_of_callers_are_left_out(self, ring, kind):
        ring.record('lookup', kind, 0, _Objective())
        assert not ring.snapshot('entry-1', 3).services

    def test_answers_share_a_bucket(self, ring, clock):
        ring.record('lookup', None, 0, _Objective())
        clock.now_s += BUCKET_S - 1
        ring.record('lookup', None, 0, _Objective())
        clock.now_s += 1
        ring.record('lookup', ErrorKind.NO_TARGET, 0, _Objective())
        assert _buckets(ring) == [
            BurnBucket(START_S, 2, {}),
            BurnBucket(START_S + BUCKET_S, 0, {'no_target': 1}),
        ]


class TestRing:
    def test_old_buckets_are_dropped(self, ring, clock):
        ring.record('lookup', ErrorKind.OVERLOADED, 0, _Objective())
        clock.now_s += (RING_BUCKETS - 1) * BUCKET_S
        assert len(_buckets(ring)) == 1
        clock.now_s += BUCKET_S
        assert not _buckets(ring)

    def test_slots_are_cleared_for_reuse(self, ring, clock):
        ring.record('lookup', ErrorKind.OVERLOADED, 0, _Objective())
        clock.now_s += RING_BUCKETS * BUCKET_S
        ring.record('lookup', None, 0, _Objective())
        assert _buckets(ring) == [BurnBucket(clock.now_s, 1, {})]

    def test_snapshot_survives_json(self, ring):
        ring.record('lookup', ErrorKind.OVERLOADED, 0, _Objective(0.95))
        snapshot = ring.snapshot('entry-1', 3)
        encoded = msgspec.json.encode(snapshot)
        assert msgspec.json.decode(encoded, type=BurnSnapshot) == snapshot
        assert snapshot.services[0].availability == 0.95
