"""What the checks of a soak call a broken promise."""

import types

import pytest
from endivetally.soak.promises import Call
from endivetally.soak.promises import Promises
from endivetally_held.jobs import TaskKey
from endivetally_platform.standins import CallOutcome
from endivetally_platform.standins import CallResult
from endivetally_platform.standins import JobSpec
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_standins.held_target import RecordedRun
from endivetally_standins.held_target import RunHistory

NEED = Resources(1600, 64)
PLAN = JobSpec('j1', 'lookup', 2, NEED, 0.1, 0.1, 6, tasks_fail=False)


def judged(end, *, runs=(), began=0, disturbed=False, terminated_at=(), ended_at=6.0):
    """Return the violations of one call at 0 beside runs, as (task, end)."""
    ledger = RunHistory(lambda task: 0.1, lambda task: NEED)
    for number, run_end in runs:
        record = RecordedRun(TaskKey('j1', 0, number), 1, 'target', began)
        ledger.record_start(record)
        record.ended_at = 1
        record.end = run_end
    machine = types.SimpleNamespace(
        name='entry-1',
        calm=lambda since, until: not disturbed,
        terminated_at=terminated_at,
    )
    stage = types.SimpleNamespace(ledger=ledger, all_violations=list)
    promises = Promises(stage)
    outcome = CallOutcome(end, '')
    promises.judge(Call(PLAN, machine, 0, ended_at, outcome, left=False))
    return promises.judge_rest()


DONE = RunEnd.DONE
FAILED = RunEnd.FAILED


@pytest.mark.parametrize(
    ('end', 'runs', 'broken'),
    [
        (CallResult.COMPLETED, [(0, DONE), (1, DONE)], False),
        (CallResult.COMPLETED, [(0, DONE)], True),
        (CallResult.COMPLETED, [(0, DONE), (1, RunEnd.LEASE_EXPIRED)], True),
        (CallResult.FAILED, [(0, FAILED), (0, FAILED), (0, FAILED)], False),
        (CallResult.FAILED, [(0, FAILED), (0, FAILED), (1, FAILED)], True),
        (CallResult.REFUSED, [], False),
        (CallResult.REFUSED, [(0, RunEnd.STOPPED)], True),
        (CallResult.UNKNOWN, [(0, RunEnd.STOPPED)], False),
        (CallResult.UNANSWERED, [], True),
        (CallResult.MALFORMED, [], True),
    ],
)
def test_answers(end, runs, broken):
    assert bool(judged(end, runs=runs)) is broken


@pytest.mark.parametrize(
    ('disturbed', 'terminated_at', 'runs', 'began', 'ended_at', 'broken'),
    [
        (True, [], [], 0, 6.0, False),
        (False, [2.0], [], 0, 6.0, True),
        (False, [-2.0], [(0, DONE)], 0.05, 0.1, True),
        # An earlier call of the job began it, at another entry.
        (False, [-2.0], [(0, DONE)], -5, 0.1, False),
        (False, [-3.0], [], 0, 0.1, False),
    ],
)
def test_no_answer(disturbed, terminated_at, runs, began, ended_at, broken):
    violations = judged(
        CallResult.UNANSWERED,
        runs=runs,
        began=began,
        disturbed=disturbed,
        terminated_at=terminated_at,
        ended_at=ended_at,
    )
    assert bool(violations) is broken


def test_recovery():
    promises = Promises(types.SimpleNamespace(all_violations=list))
    outcomes = [CallResult.COMPLETED] + [CallResult.REFUSED] * 4
    calls = [
        Call(PLAN, None, 0, 1, CallOutcome(end, ''), left=False) for end in outcomes
    ]
    promises.judge_recovery(calls)
    assert promises.violations
