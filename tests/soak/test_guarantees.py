"""Which observations the checks of a soak test report as broken guarantees."""

import types
from dataclasses import replace

import pytest
from endivetally.soak.guarantees import Call
from endivetally.soak.guarantees import GuaranteeChecker
from endivetally_held.jobs import TaskKey
from endivetally_platform.standins import CallOutcome
from endivetally_platform.standins import CallResult
from endivetally_platform.standins import JobSpec
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_standins.held_target import RecordedRun
from endivetally_standins.held_target import RunHistory

RESOURCES = Resources(1600, 64)
JOB = JobSpec('j1', 'lookup', 2, RESOURCES, 0.1, 0.1, 6, tasks_fail=False)


def find_violations(
    result,
    *,
    runs=(),
    started_at=0,
    has_fault=False,
    termination_times=(),
    ended_at=6.0,
):
    """Return the violations of one call that is sent at time 0.

    :param runs: runs of its tasks, as (number of the task, end).
    """
    run_history = RunHistory(lambda task: 0.1, lambda task: RESOURCES)
    for number, run_end in runs:
        record = RecordedRun(TaskKey('j1', 0, number), 1, 'target', started_at)
        run_history.record_start(record)
        record.ended_at = 1
        record.end = run_end
    machine = types.SimpleNamespace(
        name='entry-1',
        was_fault_free=lambda since, until: not has_fault,
        termination_times=termination_times,
        inbound_proxy=types.SimpleNamespace(refusal_times=()),
    )
    deployment = types.SimpleNamespace(
        run_history=run_history, collect_violations=list, jobs={}
    )
    checker = GuaranteeChecker(deployment)
    outcome = CallOutcome(result, '')
    checker.check_call(Call(JOB, machine, 0, ended_at, outcome, abandoned=False))
    return checker.collect_violations()


LOST = RunEnd.LOST
DONE = RunEnd.DONE
FAILED = RunEnd.FAILED


@pytest.mark.parametrize(
    ('result', 'runs', 'is_violation'),
    [
        (CallResult.COMPLETED, [(0, DONE), (1, DONE)], False),
        (CallResult.COMPLETED, [(0, DONE)], True),
        (CallResult.COMPLETED, [(0, DONE), (1, RunEnd.LEASE_EXPIRED)], True),
        (CallResult.FAILED, [(0, FAILED), (0, FAILED), (0, FAILED)], False),
        (CallResult.FAILED, [(0, FAILED), (0, FAILED), (1, FAILED)], True),
        # Two targets have crashed under one task, or one under each of two.
        (CallResult.FAILED, [(0, LOST), (0, LOST)], False),
        (CallResult.FAILED, [(0, LOST), (1, LOST)], True),
        (CallResult.REFUSED, [], False),
        (CallResult.REFUSED, [(0, RunEnd.STOPPED)], True),
        (CallResult.UNKNOWN, [(0, RunEnd.STOPPED)], False),
        (CallResult.UNANSWERED, [], True),
        (CallResult.MALFORMED, [], True),
    ],
)
def test_a_response_must_agree_with_the_runs(result, runs, is_violation):
    assert bool(find_violations(result, runs=runs)) is is_violation


@pytest.mark.parametrize(
    (
        'has_fault',
        'termination_times',
        'runs',
        'started_at',
        'ended_at',
        'is_violation',
    ),
    [
        (True, [], [], 0, 6.0, False),
        (False, [2.0], [], 0, 6.0, True),
        (False, [-2.0], [(0, DONE)], 0.05, 0.1, True),
        # The task was started by an earlier call for the job, at another entry.
        (False, [-2.0], [(0, DONE)], -5, 0.1, False),
        (False, [-3.0], [], 0, 0.1, False),
    ],
)
def test_a_missing_response_must_be_explained_by_a_fault(
    has_fault, termination_times, runs, started_at, ended_at, is_violation
):
    violations = find_violations(
        CallResult.UNANSWERED,
        runs=runs,
        started_at=started_at,
        has_fault=has_fault,
        termination_times=termination_times,
        ended_at=ended_at,
    )
    assert bool(violations) is is_violation


def test_completing_one_in_five_calls_after_the_faults_is_no_recovery():
    checker = GuaranteeChecker(types.SimpleNamespace(collect_violations=list))
    results = [CallResult.COMPLETED] + [CallResult.REFUSED] * 4
    calls = [
        Call(JOB, None, 0, 1, CallOutcome(result, ''), abandoned=False)
        for result in results
    ]
    checker.check_recovery(calls)
    assert checker.violations


@pytest.mark.parametrize(
    ('crashes_targets', 'ends', 'is_violation'),
    [
        (True, [LOST] * 5, False),
        (True, [LOST] * 6, True),
        (True, [LOST, LOST, LOST, RunEnd.LEASE_EXPIRED, LOST, DONE], True),
        (True, [RunEnd.LEASE_EXPIRED] * 6, False),
        (False, [LOST] * 6, False),
    ],
)
def test_three_starts_after_three_crashes_are_too_many(
    crashes_targets, ends, is_violation
):
    run_history = RunHistory(lambda task: 0.1, lambda task: RESOURCES)
    for number, end in enumerate(ends):
        record = RecordedRun(
            TaskKey('j1', 0, 0), number + 1, f'target-{number}', number
        )
        record.ended_at = number + 0.5
        record.end = end
        run_history.record_start(record)
    crashing_job = replace(JOB, crashes_targets=crashes_targets)
    deployment = types.SimpleNamespace(
        run_history=run_history, collect_violations=list, jobs={'j1': crashing_job}
    )
    violations = GuaranteeChecker(deployment).collect_violations()
    assert bool(violations) is is_violation
