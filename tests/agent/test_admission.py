"""Tests of the admission of dispatches."""

import pytest
from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.admission import RefusalReason
from endivetally_agent.admission import Verdict
from endivetally_agent.records import StartRecords
from endivetally_core.joining import Announcement
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Outcome

OWNER = 'entry-1.01'


class Clock:
    def __init__(self):
        self.now = 100

    def __call__(self):
        return self.now


def _announcement(**fields):
    values = {'slots': 2, 'connections': 64, 'memory_mb': 1000} | fields
    return Announcement('lookups', 9000, **values)


def _make_admission(memory_mb=1, retention_s=900, **fields):
    clock = Clock()
    admission = DispatchAdmission(StartRecords(retention_s, memory_mb, clock), clock)
    admission.apply_announcement(_announcement(**fields))
    return admission, clock


def _dispatch(sequence=1, number=0, attempt=0, owner=OWNER, service='lookups', ms=500):
    attempt_id = AttemptId(owner, sequence, number, attempt)
    return Dispatch(attempt_id, service, 'job', b'', ms)


def _done_outcome(dispatch, body=b'answer'):
    return Outcome(dispatch.attempt_id, 'done', body=body)


def _refusal_reason(admission, dispatch, memory_mb=0):
    return admission.try_start(dispatch, memory_mb).reason


class TestRefusals:
    @pytest.mark.parametrize(
        ('prepare', 'reason'),
        [
            (lambda admission, clock: admission.close(), RefusalReason.CLOSED),
            (
                lambda admission, clock: setattr(clock, 'now', 104),
                RefusalReason.CLOSED,
            ),
            (lambda admission, clock: admission.drain(), RefusalReason.LEAVING),
            (
                lambda admission, clock: admission.apply_announcement(
                    _announcement(leaving=True)
                ),
                RefusalReason.LEAVING,
            ),
            (
                lambda admission, clock: admission.fence_owner(OWNER),
                RefusalReason.FENCED,
            ),
            (
                lambda admission, clock: admission.cancel_task(OWNER, 1, 0),
                RefusalReason.CANCELLED,
            ),
            (
                lambda admission, clock: admission.recall_request(
                    OWNER, 8, 'entry-2.01'
                ),
                RefusalReason.FENCED,
            ),
            (
                lambda admission, clock: [
                    admission.try_start(_dispatch(sequence)) for sequence in (2, 3)
                ],
                RefusalReason.FULL,
            ),
        ],
    )
    def test_a_refused_attempt_stays_refused(self, prepare, reason):
        admission, clock = _make_admission()
        prepare(admission, clock)
        assert _refusal_reason(admission, _dispatch()) is reason
        admission.apply_announcement(_announcement(slots=8))
        again = admission.try_start(_dispatch())
        assert again.verdict is Verdict.REFUSED
        assert again.reason is reason

    @pytest.mark.parametrize(
        ('dispatch', 'reason'),
        [
            (_dispatch(service='sweeps'), RefusalReason.WRONG_SERVICE),
            (_dispatch(ms=0), RefusalReason.DEADLINE),
        ],
    )
    def test_a_wrong_service_or_passed_deadline_is_refused(self, dispatch, reason):
        admission, _clock = _make_admission()
        assert _refusal_reason(admission, dispatch) is reason

    def test_memory_check_includes_tasks_that_the_target_has_not_reported(self):
        admission, clock = _make_admission(used_memory_mb=300)
        clock.now += 1
        assert _refusal_reason(admission, _dispatch(1), 400) is None
        assert _refusal_reason(admission, _dispatch(2), 400) is RefusalReason.MEMORY

    def test_an_expired_lease_is_renewed_by_the_next_announcement(self):
        admission, clock = _make_admission()
        clock.now += 10
        assert admission.slots == 0
        admission.apply_announcement(_announcement())
        assert admission.try_start(_dispatch()).verdict is Verdict.STARTED

    def test_connections_limit_the_slots(self):
        admission, _clock = _make_admission(slots=8, connections=1)
        admission.try_start(_dispatch(1))
        assert _refusal_reason(admission, _dispatch(2)) is RefusalReason.FULL


class TestAtMostOnce:
    def test_a_duplicate_does_not_start(self):
        admission, _clock = _make_admission()
        admission.try_start(_dispatch())
        assert admission.try_start(_dispatch()).verdict is Verdict.DUPLICATE
        admission.record_outcome(_done_outcome(_dispatch()))
        assert admission.try_start(_dispatch()).outcome == _done_outcome(_dispatch())

    @pytest.mark.parametrize('ended', [False, True])
    @pytest.mark.parametrize('attempt', [1, 3])
    def test_no_other_attempt_at_a_started_task_starts(self, ended, attempt):
        admission, _clock = _make_admission(slots=8)
        admission.try_start(_dispatch(attempt=2))
        if ended:
            admission.record_outcome(_done_outcome(_dispatch(attempt=2)))
        assert (
            _refusal_reason(admission, _dispatch(attempt=attempt))
            is RefusalReason.DUPLICATE
        )

    @pytest.mark.parametrize(('attempt', 'starts'), [(0, False), (1, False), (2, True)])
    def test_only_a_higher_attempt_starts_after_a_refusal(self, attempt, starts):
        admission, _clock = _make_admission()
        admission.close()
        admission.try_start(_dispatch(attempt=1))
        admission.apply_announcement(_announcement())
        decision = admission.try_start(_dispatch(attempt=attempt))
        assert (decision.verdict is Verdict.STARTED) is starts

    def test_an_attempt_refused_by_the_target_stays_refused(self):
        admission, _clock = _make_admission()
        admission.try_start(_dispatch())
        admission.record_outcome(Outcome(_dispatch().attempt_id, 'refused', 'closed'))
        assert _refusal_reason(admission, _dispatch()) is RefusalReason.CLOSED
        assert admission.recall_request(OWNER, 1, 'entry-2.01') == []

    def test_all_later_attempts_at_a_cancelled_task_are_refused(self):
        admission, _clock = _make_admission()
        assert admission.cancel_task(OWNER, 1, 0) is None
        assert (
            _refusal_reason(admission, _dispatch(attempt=0)) is RefusalReason.CANCELLED
        )
        assert (
            _refusal_reason(admission, _dispatch(attempt=1)) is RefusalReason.CANCELLED
        )

    def test_cancelling_returns_the_running_attempt(self):
        admission, _clock = _make_admission()
        admission.try_start(_dispatch(attempt=4))
        assert admission.cancel_task(OWNER, 1, 0) == _dispatch(attempt=4).attempt_id


class TestRetention:
    def test_an_expired_request_is_unknown_and_never_starts(self):
        admission, clock = _make_admission()
        admission.try_start(_dispatch())
        admission.record_outcome(_done_outcome(_dispatch()))
        clock.now += 901
        admission.apply_announcement(_announcement())
        admission._records.trim()
        assert admission.try_start(_dispatch()).verdict is Verdict.EXPIRED
        assert admission.recall_request(OWNER, 1, 'entry-2.01')[0].status == 'unknown'
        assert admission.recall_request(OWNER, 2, 'entry-2.01') == []

    def test_the_record_of_a_running_task_is_never_discarded(self):
        admission, clock = _make_admission()
        admission.try_start(_dispatch())
        clock.now += 5000
        admission._records.trim()
        assert admission.try_start(_dispatch()).verdict is Verdict.DUPLICATE

    def test_acknowledged_bodies_are_discarded_first(self):
        admission, _clock = _make_admission(slots=8)
        for sequence in range(3):
            admission.try_start(_dispatch(sequence))
        admission.record_outcome(_done_outcome(_dispatch(0), b'a' * 400_000))
        admission.record_outcome(_done_outcome(_dispatch(1), b'a' * 400_000))
        admission.acknowledge_requests(OWNER, [1])
        admission.record_outcome(_done_outcome(_dispatch(2), b'a' * 400_000))
        kept = [
            admission.recall_request(OWNER, sequence, 'entry-2.01')[0]
            for sequence in range(3)
        ]
        assert [len(outcome.body) for outcome in kept] == [400_000, 0, 400_000]
        assert kept[1].status == 'done'
        assert kept[1].reason == 'answer_lost'

    def test_an_acknowledged_or_settled_outcome_is_not_sent_again(self):
        admission, _clock = _make_admission(slots=8)
        for sequence in range(3):
            admission.try_start(_dispatch(sequence))
            admission.record_outcome(
                _done_outcome(_dispatch(sequence)), settled=sequence == 2
            )
        admission.acknowledge_requests(OWNER, [0])
        assert admission.list_unsettled(OWNER) == [_done_outcome(_dispatch(1))]
        assert admission._records.body_bytes == 2 * len(b'answer')
        assert admission._records.task_count == 2
        assert admission.try_start(_dispatch(2)).verdict is Verdict.EXPIRED

    def test_expired_numbers_of_an_inactive_owner_are_replaced_by_a_limit(self):
        admission, clock = _make_admission()
        for sequence in (3, 7):
            admission.try_start(_dispatch(sequence))
            admission.record_outcome(_done_outcome(_dispatch(sequence)), settled=True)
        clock.now += 901
        admission._records.trim()
        admission.apply_announcement(_announcement())
        assert admission.try_start(_dispatch(7)).verdict is Verdict.EXPIRED
        assert admission.try_start(_dispatch(8)).verdict is Verdict.STARTED
