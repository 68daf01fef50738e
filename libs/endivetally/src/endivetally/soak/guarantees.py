"""Checks what callers and targets saw against what the system promises."""

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

from endivetally.soak.deployment import GRACE_S
from endivetally.soak.deployment import SERVICES
from endivetally.soak.deployment import Machine
from endivetally.soak.deployment import Stage

# A request whose connection ends this long after it was sent has been read.
READ_S: Final = 0.2
# A leaving process has ended by then, or is killed: the grace, and some time.
LEAVING_S: Final = GRACE_S + 3
# Of the requests after the last fault at least this share is served.
RECOVERED_SHARE: Final = 0.25


@dataclass(frozen=True, slots=True)
class Call:
    """One call of a job.

    :param left: the caller left before the answer.
    """

    plan: JobSpec
    machine: Machine
    sent_at: float
    ended_at: float
    outcome: CallOutcome
    left: bool


@dataclass(slots=True)
class Promises:
    """Judges each call at its end, and the rest at the end of the soak."""

    stage: Stage
    ends: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    _ends_of: dict[str, set[CallResult | None]] = field(default_factory=dict)

    def judge(self, call: Call) -> None:
        """Check the answer of a call, or that there is none."""
        end = call.outcome.result
        self.ends['left' if call.left else end.value] += 1
        ends = self._ends_of.setdefault(call.plan.identifier, set())
        ends.add(None if call.left else end)
        if call.left:
            return
        reason = self._broken(call)
        if reason:
            elapsed_s = call.ended_at - call.sent_at
            self.violations.append(
                f'{reason}: job {call.plan.identifier} at {call.machine.name},'
                f' sent at {call.sent_at:.2f}, {elapsed_s:.2f} s:'
                f' {call.outcome.detail}'
            )

    def judge_rest(self) -> list[str]:
        """Return all broken promises, with those that show at the end."""
        started = {run.task.job for run in self.stage.ledger.runs}
        run_though_refused = [
            f'refused, and yet it ran: job {identifier}'
            for identifier, ends in self._ends_of.items()
            if ends == {CallResult.REFUSED} and identifier in started
        ]
        return [*self.violations, *run_though_refused, *self.stage.all_violations()]

    def judge_recovery(self, calls: list[Call]) -> None:
        """Check that the system serves once all faults have ended."""
        served = sum(call.outcome.result is CallResult.COMPLETED for call in calls)
        if served < len(calls) * RECOVERED_SHARE:
            self.violations.append(f'{served} of {len(calls)} served after all faults')

    def _broken(self, call: Call) -> str:
        end = call.outcome.result
        if end is CallResult.MALFORMED:
            return 'answer that makes no sense'
        if end is CallResult.COMPLETED and not self._all_done(call.plan):
            return 'completed, but a task was not done'
        if end is CallResult.FAILED and not self._attempts_used(call.plan):
            return 'failed with attempts left'
        if end is CallResult.UNANSWERED and self._owed(call):
            return 'no answer'
        return ''

    def _all_done(self, plan: JobSpec) -> bool:
        return all(
            any(run.end is RunEnd.DONE for run in self.stage.ledger.get_runs(task))
            for task in _tasks(plan)
        )

    def _attempts_used(self, plan: JobSpec) -> bool:
        attempts = SERVICES[0].attempts
        return any(
            sum(run.end is RunEnd.FAILED for run in self.stage.ledger.get_runs(task))
            >= attempts
            for task in _tasks(plan)
        )

    def _owed(self, call: Call) -> bool:
        """Return whether nothing excuses that a call had no answer."""
        machine = call.machine
        if not machine.calm(call.sent_at, call.ended_at):
            return False
        leaving = any(
            call.sent_at - LEAVING_S < at < call.ended_at
            for at in machine.terminated_at
        )
        if not leaving:
            return True
        # It may not have been read by a process that was about to end.
        begun = any(
            run.started_at >= call.sent_at
            for task in _tasks(call.plan)
            for run in self.stage.ledger.get_runs(task)
        )
        return begun or call.ended_at - call.sent_at > READ_S


def steady_now() -> float:
    """Return the time that calls and faults are noted in."""
    return asyncio.get_running_loop().time()


def _tasks(plan: JobSpec) -> list[TaskKey]:
    return [TaskKey(plan.identifier, 0, number) for number in range(plan.task_count)]
