"""Tests of the start gate."""

import pytest
from endivetally_agent.admission import Gate
from endivetally_agent.admission import Refusal
from endivetally_agent.admission import Verdict
from endivetally_agent.records import StartRecords
from endivetally_core.joining import Announcement
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Outcome

OWNER = 'entry-1.01'


class Clock:
    def __init__(self):
        self.now_s = 100

    def __call__(self):
        return self.now_s


def _announcement(**fields):
    values = {'slots': 2, 'connections': 64, 'memory_mb': 1000} | fields
    return Announcement('lookups', 9000, **values)


def _gate(memory_mb=1, retention_s=900, **fields):
    clock = Clock()
    gate = Gate(StartRecords(retention_s, memory_mb, clock), clock)
    gate.announce(_announcement(**fields))
    return gate, clock


def _dispatch(sequence=1, number=0, attempt=0, owner=OWNER, service='lookups', ms=500):
    name = AttemptId(owner, sequence, number, attempt)
    return Dispatch(name, service, 'job', b'', ms)


def _done(dispatch, body=b'answer'):
    return Outcome(dispatch.attempt_id, 'done', body=body)


def _reason(gate, dispatch, memory_mb=0):
    return gate.try_start(dispatch, memory_mb).reason


class TestRefusals:
    @pytest.mark.parametrize(
        ('prepare', 'reason'),
        [
            (lambda gate, clock: gate.close(), Refusal.CLOSED),
            (lambda gate, clock: setattr(clock, 'now_s', 104), Refusal.CLOSED),
            (lambda gate, clock: gate.drain(), Refusal.LEAVING),
            (
                lambda gate, clock: gate.announce(_announcement(leaving=True)),
                Refusal.LEAVING,
            ),
            (lambda gate, clock: gate.fence(OWNER), Refusal.FENCED),
            (lambda gate, clock: gate.cancel(OWNER, 1, 0), Refusal.CANCELLED),
            (lambda gate, clock: gate.recall(OWNER, 8, 'entry-2.01'), Refusal.FENCED),
            (
                lambda gate, clock: [
                    gate.try_start(_dispatch(sequence)) for sequence in (2, 3)
                ],
                Refusal.FULL,
            ),
        ],
    )
    def test_a_refusal_is_a_tombstone(self, prepare, reason):
        gate, clock = _gate()
        prepare(gate, clock)
        assert _reason(gate, _dispatch()) is reason
        gate.announce(_announcement(slots=8))
        again = gate.try_start(_dispatch())
        assert again.verdict is Verdict.REFUSED
        assert again.reason is reason

    @pytest.mark.parametrize(
        ('dispatch', 'reason'),
        [
            (_dispatch(service='sweeps'), Refusal.WRONG_SERVICE),
            (_dispatch(ms=0), Refusal.DEADLINE),
        ],
    )
    def test_unfit_dispatch(self, dispatch, reason):
        gate, _clock = _gate()
        assert _reason(gate, dispatch) is reason

    def test_memory_counts_tasks_that_the_target_has_not_reported(self):
        gate, clock = _gate(used_memory_mb=300)
        clock.now_s += 1
        assert _reason(gate, _dispatch(1), 400) is None
        assert _reason(gate, _dispatch(2), 400) is Refusal.MEMORY

    def test_a_lapsed_gate_opens_with_the_next_announcement(self):
        gate, clock = _gate()
        clock.now_s += 10
        assert gate.slots == 0
        gate.announce(_announcement())
        assert gate.try_start(_dispatch()).verdict is Verdict.STARTED

    def test_connections_bound_the_slots(self):
        gate, _clock = _gate(slots=8, connections=1)
        gate.try_start(_dispatch(1))
        assert _reason(gate, _dispatch(2)) is Refusal.FULL


class TestAtMostOnce:
    def test_a_duplicate_does_not_start(self):
        gate, _clock = _gate()
        gate.try_start(_dispatch())
        assert gate.try_start(_dispatch()).verdict is Verdict.DUPLICATE
        gate.finish(_done(_dispatch()))
        assert gate.try_start(_dispatch()).outcome == _done(_dispatch())

    @pytest.mark.parametrize('ended', [False, True])
    @pytest.mark.parametrize('attempt', [1, 3])
    def test_no_other_attempt_of_a_started_task(self, ended, attempt):
        gate, _clock = _gate(slots=8)
        gate.try_start(_dispatch(attempt=2))
        if ended:
            gate.finish(_done(_dispatch(attempt=2)))
        assert _reason(gate, _dispatch(attempt=attempt)) is Refusal.DUPLICATE

    @pytest.mark.parametrize(('attempt', 'starts'), [(0, False), (1, False), (2, True)])
    def test_only_a_higher_attempt_than_a_refused_one(self, attempt, starts):
        gate, _clock = _gate()
        gate.close()
        gate.try_start(_dispatch(attempt=1))
        gate.announce(_announcement())
        decision = gate.try_start(_dispatch(attempt=attempt))
        assert (decision.verdict is Verdict.STARTED) is starts

    def test_a_refused_connection_refuses_the_name_for_good(self):
        gate, _clock = _gate()
        gate.try_start(_dispatch())
        gate.finish(Outcome(_dispatch().attempt_id, 'refused', 'closed'))
        assert _reason(gate, _dispatch()) is Refusal.CLOSED
        assert gate.recall(OWNER, 1, 'entry-2.01') == []

    def test_a_cancel_covers_all_later_attempts(self):
        gate, _clock = _gate()
        assert gate.cancel(OWNER, 1, 0) is None
        assert _reason(gate, _dispatch(attempt=0)) is Refusal.CANCELLED
        assert _reason(gate, _dispatch(attempt=1)) is Refusal.CANCELLED

    def test_a_cancel_names_the_running_binding(self):
        gate, _clock = _gate()
        gate.try_start(_dispatch(attempt=4))
        assert gate.cancel(OWNER, 1, 0) == _dispatch(attempt=4).attempt_id


class TestRetention:
    def test_an_expired_request_is_unknown_and_never_starts(self):
        gate, clock = _gate()
        gate.try_start(_dispatch())
        gate.finish(_done(_dispatch()))
        clock.now_s += 901
        gate.announce(_announcement())
        gate._records.trim()
        assert gate.try_start(_dispatch()).verdict is Verdict.EXPIRED
        assert gate.recall(OWNER, 1, 'entry-2.01')[0].status == 'unknown'
        assert gate.recall(OWNER, 2, 'entry-2.01') == []

    def test_a_running_task_is_never_forgotten(self):
        gate, clock = _gate()
        gate.try_start(_dispatch())
        clock.now_s += 5000
        gate._records.trim()
        assert gate.try_start(_dispatch()).verdict is Verdict.DUPLICATE

    def test_acknowledged_bodies_go_first(self):
        gate, _clock = _gate(slots=8)
        for sequence in range(3):
            gate.try_start(_dispatch(sequence))
        gate.finish(_done(_dispatch(0), b'a' * 400_000))
        gate.finish(_done(_dispatch(1), b'a' * 400_000))
        gate.acknowledge(OWNER, [1])
        gate.finish(_done(_dispatch(2), b'a' * 400_000))
        kept = [gate.recall(OWNER, sequence, 'entry-2.01')[0] for sequence in range(3)]
        assert [len(outcome.body) for outcome in kept] == [400_000, 0, 400_000]
        assert kept[1].status == 'done'
        assert kept[1].reason == 'answer_lost'

    def test_an_acknowledged_or_settled_outcome_is_not_sent_again(self):
        gate, _clock = _gate(slots=8)
        for sequence in range(3):
            gate.try_start(_dispatch(sequence))
            gate.finish(_done(_dispatch(sequence)), settled=sequence == 2)
        gate.acknowledge(OWNER, [0])
        assert gate.unsettled(OWNER) == [_done(_dispatch(1))]
        assert gate._records.body_bytes == 2 * len(b'answer')
        assert gate._records.bindings == 2
        assert gate.try_start(_dispatch(2)).verdict is Verdict.EXPIRED

    def test_numbers_of_a_quiet_owner_shrink_to_a_limit(self):
        gate, clock = _gate()
        for sequence in (3, 7):
            gate.try_start(_dispatch(sequence))
            gate.finish(_done(_dispatch(sequence)), settled=True)
        clock.now_s += 901
        gate._records.trim()
        gate.announce(_announcement())
        assert gate.try_start(_dispatch(7)).verdict is Verdict.EXPIRED
        assert gate.try_start(_dispatch(8)).verdict is Verdict.STARTED
