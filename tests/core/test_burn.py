"""Tests of the response counts behind the error budget burn report."""

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
def recorder(clock):
    return BurnRecorder(clock)


def _read_buckets(recorder):
    (service,) = recorder.snapshot('entry-1', 3).services
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
    def test_responses_are_counted_by_outcome(self, recorder, kind, seconds, good, bad):
        recorder.record_response('lookup', kind, seconds, _Objective())
        assert _read_buckets(recorder) == [BurnBucket(START_S, good, bad)]

    @pytest.mark.parametrize(
        'kind',
        [ErrorKind.MALFORMED_REQUEST, ErrorKind.QUOTA_EXCEEDED, ErrorKind.CANCELLED],
    )
    def test_caller_errors_are_not_counted(self, recorder, kind):
        recorder.record_response('lookup', kind, 0, _Objective())
        assert not recorder.snapshot('entry-1', 3).services

    def test_responses_are_grouped_into_time_buckets(self, recorder, clock):
        recorder.record_response('lookup', None, 0, _Objective())
        clock.now_s += BUCKET_S - 1
        recorder.record_response('lookup', None, 0, _Objective())
        clock.now_s += 1
        recorder.record_response('lookup', ErrorKind.NO_TARGET, 0, _Objective())
        assert _read_buckets(recorder) == [
            BurnBucket(START_S, 2, {}),
            BurnBucket(START_S + BUCKET_S, 0, {'no_target': 1}),
        ]


class TestRing:
    def test_buckets_older_than_the_ring_are_omitted(self, recorder, clock):
        recorder.record_response('lookup', ErrorKind.OVERLOADED, 0, _Objective())
        clock.now_s += (RING_BUCKETS - 1) * BUCKET_S
        assert len(_read_buckets(recorder)) == 1
        clock.now_s += BUCKET_S
        assert not _read_buckets(recorder)

    def test_reused_slots_are_cleared(self, recorder, clock):
        recorder.record_response('lookup', ErrorKind.OVERLOADED, 0, _Objective())
        clock.now_s += RING_BUCKETS * BUCKET_S
        recorder.record_response('lookup', None, 0, _Objective())
        assert _read_buckets(recorder) == [BurnBucket(clock.now_s, 1, {})]

    def test_snapshot_round_trips_through_json(self, recorder):
        recorder.record_response('lookup', ErrorKind.OVERLOADED, 0, _Objective(0.95))
        snapshot = recorder.snapshot('entry-1', 3)
        encoded = msgspec.json.encode(snapshot)
        assert msgspec.json.decode(encoded, type=BurnSnapshot) == snapshot
        assert snapshot.services[0].availability == 0.95
