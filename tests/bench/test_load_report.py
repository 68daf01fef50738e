"""Tests the verdicts on responses, and the reports that summarise them."""

import pytest
from endivetally.load.fcfs import simulate_fcfs
from endivetally.load.mix import Arrival
from endivetally.load.report import completed_run_times
from endivetally.load.report import report_requests
from endivetally.load.report import report_starts
from endivetally.load.responses import CheckedResponse
from endivetally.load.responses import Verdict
from endivetally.load.responses import check_response
from endivetally.load.sender import LoadRecord
from endivetally_config.operator_config import ServiceKind

LOOKUP = Arrival(0, 'lookups', ServiceKind.IDEMPOTENT, 'l', [100])
NOTE = Arrival(0, 'notes', ServiceKind.NON_IDEMPOTENT, 'n', [100])
SWEEP = Arrival(0, 'sweeps', ServiceKind.JOB, 's', [100, 200])


def record(
    arrival: Arrival,
    verdict: Verdict = Verdict.COMPLETE,
    response_ms: float = 110,
    done_s: float = 1,
) -> LoadRecord:
    return LoadRecord(arrival.key, verdict, '', response_ms, 0, done_s, 1)


def by_key(*records: LoadRecord) -> dict[str, LoadRecord]:
    return {each.key: each for each in records}


class TestCheckResponse:
    @pytest.mark.parametrize(
        ('arrival', 'status', 'body', 'verdict'),
        [
            (LOOKUP, 200, b'{"echo": "l/0"}', Verdict.COMPLETE),
            (LOOKUP, 200, b'{"echo": "x/0"}', Verdict.PARTIAL),
            (LOOKUP, 200, b'{"echo": "l', Verdict.PARTIAL),
            (
                SWEEP,
                200,
                b'{"results": [{"echo": "s/0"}, {"echo": "s/1"}]}',
                Verdict.COMPLETE,
            ),
            (SWEEP, 200, b'{"results": [{"echo": "s/0"}]}', Verdict.PARTIAL),
            (
                SWEEP,
                200,
                b'{"results": [{"echo": "s/1"}, {"echo": "s/0"}]}',
                Verdict.PARTIAL,
            ),
            (
                NOTE,
                503,
                b'{"error": {"code": "overloaded", "ran": "not_run"}}',
                Verdict.REFUSED,
            ),
            (
                NOTE,
                502,
                b'{"error": {"code": "outcome_unknown", "ran": "unknown"}}',
                Verdict.FAILED,
            ),
            (NOTE, 502, b'<html>', Verdict.FAILED),
        ],
    )
    def test_verdict_follows_status_and_body(
        self,
        arrival: Arrival,
        status: int,
        body: bytes,
        verdict: Verdict,
    ) -> None:
        assert check_response(arrival, status, body).verdict is verdict

    def test_refusal_keeps_its_error_code(self) -> None:
        body = b'{"error": {"code": "overloaded", "ran": "not_run"}}'
        expected = CheckedResponse(Verdict.REFUSED, 'overloaded')
        assert check_response(LOOKUP, 503, body) == expected


class TestRequestReport:
    def test_ratio_is_response_time_divided_by_ideal(self) -> None:
        report = report_requests(
            [LOOKUP, SWEEP],
            by_key(record(LOOKUP, response_ms=110), record(SWEEP, response_ms=420)),
            {'lookups': 8, 'sweeps': 8},
            overhead_ms=10,
        )
        assert report.response_ratios.p50 == pytest.approx(1, rel=0.01)
        assert report.response_ratios.maximum == pytest.approx(2, rel=0.01)

    def test_refusals_are_left_out_of_response_ratios(self) -> None:
        refused = record(NOTE, Verdict.REFUSED, response_ms=20)
        report = report_requests([NOTE], by_key(refused), {'notes': 8}, overhead_ms=0)
        assert report.response_ratios.p50 == 0
        assert report.refusals_ms.maximum == pytest.approx(20, rel=0.01)
        assert report.share(Verdict.REFUSED) == 1

    def test_goodput_counts_only_complete_responses_in_time(self) -> None:
        records = by_key(
            record(LOOKUP, done_s=3),
            record(SWEEP, done_s=1),
            record(NOTE, Verdict.FAILED),
        )
        assert completed_run_times([LOOKUP, SWEEP, NOTE], records, 2) == [100, 200]


class TestStarts:
    def test_idempotent_tasks_are_repeated_and_others_doubled(self) -> None:
        records = by_key(record(LOOKUP), record(NOTE), record(SWEEP))
        starts = {'l/0': 2, 'n/0': 2, 's/0': 1, 's/1': 3}
        report = report_starts([LOOKUP, NOTE, SWEEP], records, starts)
        assert (report.tasks_done, report.doubled, report.repeated) == (4, 2, 1)

    def test_a_refused_task_that_ran_is_counted(self) -> None:
        records = by_key(record(SWEEP, Verdict.REFUSED))
        assert report_starts([SWEEP], records, {'s/0': 1}).ran_after_refusal == 1

    def test_a_complete_response_without_a_start_is_counted(self) -> None:
        records = by_key(record(SWEEP))
        assert report_starts([SWEEP], records, {'s/0': 1}).missing == 1


class TestFcfsQueue:
    def test_requests_wait_only_when_all_slots_are_busy(self) -> None:
        second = Arrival(0.1, 'sweeps', ServiceKind.JOB, 'w', [100])
        ratios = simulate_fcfs([SWEEP, second], slots=2, overhead_ms=0)['sweeps']
        assert ratios.p50 == pytest.approx(1, rel=0.01)
        ratios = simulate_fcfs([SWEEP, second], slots=1, overhead_ms=0)['sweeps']
        assert ratios.maximum == pytest.approx(3, rel=0.01)
