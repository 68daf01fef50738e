"""Checks whether the guarantees held, from what callers and targets observed."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from endivetally_held.jobs import TaskKey
from endivetally_platform.standins import CallOutcome
from endivetally_platform.standins import CallResult
from endivetally_platform.standins import JobSpec
from endivetally_policy.held import RunEnd

from endivetally.soak.deployment import SERVICES
from endivetally.soak.deployment import SHUTDOWN_GRACE_S
from endivetally.soak.deployment import Machine
from endivetally.soak.deployment import SoakDeployment

# Time within which a process reads a request that was sent to it.
REQUEST_READ_S: Final = 0.2
# Time within which a terminated process exits or is killed: its grace period and a
# margin.
MAX_SHUTDOWN_S: Final = SHUTDOWN_GRACE_S + 3
# A task may be given up after this many targets have crashed under it.
MIN_CRASHES: Final = 2
# It must not be started this often after three of them have.
MAX_CRASHES: Final = 3
MAX_LATER_STARTS: Final = 3
# Minimum share of the requests after the last fault that must be completed.
MIN_RECOVERED_SHARE: Final = 0.25


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller to run a job.

    :param sent_at: time of the event loop, in seconds, as is ``ended_at``.
    :param abandoned: the caller closed the connection before the response.
    """

    job: JobSpec
    machine: Machine
    sent_at: float
    ended_at: float
    outcome: CallOutcome
    abandoned: bool


@dataclass(slots=True)
class GuaranteeChecker:
    """Checks each call when it ends, and everything else at the end of the soak test.

    :param result_counts: number of calls for each result; ``left`` counts the
        abandoned ones.
    :param violations: broken guarantees that were detected so far.
    """

    deployment: SoakDeployment
    result_counts: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    _results_by_job: dict[str, set[CallResult | None]] = field(default_factory=dict)

    def check_call(self, call: Call) -> None:
        """Check the response to a call, or whether a fault explains that none came."""
        result = call.outcome.result
        self.result_counts['left' if call.abandoned else result.value] += 1
        results = self._results_by_job.setdefault(call.job.identifier, set())
        results.add(None if call.abandoned else result)
        if call.abandoned:
            return
        reason = self._find_violation(call)
        if reason:
            elapsed_s = call.ended_at - call.sent_at
            self.violations.append(
                f'{reason}: job {call.job.identifier} at {call.machine.name},'
                f' sent at {call.sent_at:.2f}, {elapsed_s:.3f} s:'
                f' {call.outcome.detail}{_describe_end(call)}'
            )

    def collect_violations(self) -> list[str]:
        """Return all violations, with those that can only be detected at the end."""
        started = {run.task.job for run in self.deployment.run_history.runs}
        run_after_refusal = [
            f'refused, and yet it ran: job {identifier}'
            for identifier, results in self._results_by_job.items()
            if results == {CallResult.REFUSED} and identifier in started
        ]
        return [
            *self.violations,
            *run_after_refusal,
            *self._find_repeated_crashes(),
            *self.deployment.collect_violations(),
        ]

    def check_recovery(self, calls: list[Call]) -> None:
        """Check that enough of the calls after the last fault were completed."""
        served = sum(call.outcome.result is CallResult.COMPLETED for call in calls)
        if served < len(calls) * MIN_RECOVERED_SHARE:
            self.violations.append(f'{served} of {len(calls)} served after all faults')

    def _find_violation(self, call: Call) -> str:
        """Return which guarantee was broken for a call; empty if none."""
        result = call.outcome.result
        if result is CallResult.MALFORMED:
            return 'answer that makes no sense'
        if result is CallResult.COMPLETED and not self._all_tasks_done(call.job):
            return 'completed, but a task was not done'
        if result is CallResult.FAILED and not self._may_be_given_up(call.job):
            return 'failed with attempts left'
        if result is CallResult.UNANSWERED and self._response_was_due(call):
            return 'no answer'
        return ''

    def _all_tasks_done(self, job: JobSpec) -> bool:
        return all(
            any(
                run.end is RunEnd.DONE
                for run in self.deployment.run_history.get_runs(task)
            )
            for task in _list_task_keys(job)
        )

    def _may_be_given_up(self, job: JobSpec) -> bool:
        """Return whether a task has failed in all its attempts, or crashed targets."""
        attempts = SERVICES[0].attempts
        for task in _list_task_keys(job):
            ends = [run.end for run in self.deployment.run_history.get_runs(task)]
            if ends.count(RunEnd.FAILED) >= attempts:
                return True
            if ends.count(RunEnd.LOST) >= MIN_CRASHES:
                return True
        return False

    def _find_repeated_crashes(self) -> list[str]:
        """Find tasks that were started again and again though they crash targets."""
        violations = []
        for job in self.deployment.jobs.values():
            runs = self.deployment.run_history.get_runs(TaskKey(job.identifier, 0, 0))
            crashes = [run.ended_at or 0 for run in runs if run.end is RunEnd.LOST]
            if not job.crashes_targets or len(crashes) < MAX_CRASHES:
                continue
            since = sorted(crashes)[MAX_CRASHES - 1]
            later = sum(run.started_at > since for run in runs)
            if later >= MAX_LATER_STARTS:
                violations.append(
                    f'started {later} times after {MAX_CRASHES} targets had crashed:'
                    f' job {job.identifier}'
                )
        return violations

    def _response_was_due(self, call: Call) -> bool:
        """Return whether no fault explains that a call had no response."""
        machine = call.machine
        if not machine.was_fault_free(call.sent_at, call.ended_at):
            return False
        was_terminating = any(
            call.sent_at - MAX_SHUTDOWN_S < at < call.ended_at
            for at in machine.termination_times
        )
        if not was_terminating:
            return True
        # A terminating process may exit before it reads the request.
        was_started = any(
            run.started_at >= call.sent_at
            for task in _list_task_keys(call.job)
            for run in self.deployment.run_history.get_runs(task)
        )
        return was_started or call.ended_at - call.sent_at > REQUEST_READ_S


def _describe_end(call: Call) -> str:
    """Return what its machine's proxy and signals tell of an unanswered call."""
    if call.outcome.result is not CallResult.UNANSWERED:
        return ''
    terminations = [
        f'{at:.2f}'
        for at in call.machine.termination_times
        if at > call.sent_at - MAX_SHUTDOWN_S
    ]
    refusals = [
        f'{at:.3f}'
        for at in call.machine.inbound_proxy.refusal_times
        if call.sent_at <= at <= call.ended_at
    ]
    return f'; terminated at {terminations}, connections refused at {refusals}'


def get_loop_time() -> float:
    """Return the time of the event loop, in which calls and faults are recorded."""
    return asyncio.get_running_loop().time()


def _list_task_keys(job: JobSpec) -> list[TaskKey]:
    return [TaskKey(job.identifier, 0, number) for number in range(job.task_count)]
