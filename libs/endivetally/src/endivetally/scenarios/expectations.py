"""Steps that check the responses to callers and the starts at targets."""

import operator
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from endivetally.load.responses import Verdict
from endivetally.scenarios.callers import Submission
from endivetally.scenarios.environment import Downtime
from endivetally.scenarios.environment import Environment
from endivetally.scenarios.invariants import Totals
from endivetally.scenarios.invariants import count_totals
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed
from endivetally.scenarios.wait_steps import WaitResponses

COMPARISONS: Final[Mapping[str, Callable[[int, int], bool]]] = {
    'exactly': operator.eq,
    'at most': operator.le,
    'at least': operator.ge,
}


@dataclass(frozen=True, slots=True)
class AllowedOutcome:
    """An outcome of a request that an expectation allows.

    :param code: error code; empty allows any code.
    """

    verdict: Verdict
    code: str = ''

    def matches(self, submission: Submission) -> bool:
        """Return whether a request ended with this outcome."""
        if submission.verdict is not self.verdict or submission.response is None:
            return False
        return self.code in {'', submission.response.code}


@dataclass(frozen=True, slots=True)
class ExpectOutcomes(Step):
    """Expects every request of a label to end with an allowed outcome."""

    label: str
    allowed: tuple[AllowedOutcome, ...]

    async def run(self, environment: Environment) -> None:
        """Wait for the responses and check each."""
        await WaitResponses(self.label).run(environment)
        found = environment.callers.find_submissions(self.label)
        wrong = [each for each in found if not self._is_allowed(each)]
        if wrong or not found:
            raise StepFailed(f'{self.label}: {_describe_outcomes(wrong)}')

    def _is_allowed(self, submission: Submission) -> bool:
        return any(allowed.matches(submission) for allowed in self.allowed)


@dataclass(frozen=True, slots=True)
class ExpectStarts(Step):
    """Expects a number of starts of a label in the records of the targets.

    :param bound: ``exactly``, ``at most`` or ``at least``.
    """

    label: str
    bound: str
    count: int

    async def run(self, environment: Environment) -> None:
        """Count the starts up to now."""
        keys = environment.callers.find_keys(self.label)
        ids = [start.task_id for start in environment.starts.read_all()]
        started = sum(
            environment.callers.key_of_task(task_id) in keys for task_id in ids
        )
        if not COMPARISONS[self.bound](started, self.count):
            wanted = f'{self.bound} {self.count}'
            raise StepFailed(f'{self.label}: found {started} starts, expected {wanted}')


@dataclass(frozen=True, slots=True)
class ExpectResponseTime(Step):
    """Expects a response to every request of a label within a time."""

    label: str
    seconds: float

    async def run(self, environment: Environment) -> None:
        """Wait for the responses and compare their times."""
        await WaitResponses(self.label).run(environment)
        times = [
            submission.responded_at_s - submission.sent_at_s
            for submission in environment.callers.find_submissions(self.label)
        ]
        if max(times) > self.seconds:
            raise StepFailed(f'{self.label}: slowest response after {max(times):.2f} s')


@dataclass(frozen=True, slots=True)
class ExpectNoNewTasks(Step):
    """Expects no new tasks at stopped or frozen targets after a delay.

    A start is a violation if it was recorded after the delay and during the
    downtime, or if its request was sent after the delay and got its response
    before the end of the downtime.

    :param seconds: delay from the start of the downtime.
    """

    selector: Selector
    seconds: float

    async def run(self, environment: Environment) -> None:
        """Compare the starts with the downtimes."""
        names = await self.selector.select(environment)
        downtimes = [each for each in environment.downtimes if each.process in names]
        if not downtimes:
            raise StepFailed(f'{names}: none of these processes was stopped or frozen')
        late = [
            start.task_id
            for start in environment.starts.read_all()
            for downtime in downtimes
            if start.target == downtime.process
            and self._is_new_task(
                environment, downtime, start.task_id, start.started_at_s
            )
        ]
        if late:
            raise StepFailed(f'new tasks at {names}: {sorted(set(late))}')

    def _is_new_task(
        self,
        environment: Environment,
        downtime: Downtime,
        task_id: str,
        started_at_s: float,
    ) -> bool:
        window_start_s = downtime.began_at_s + self.seconds
        window_end_s = downtime.ended_at_s or float('inf')
        if window_start_s < started_at_s < window_end_s:
            return True
        return any(
            window_start_s < submission.sent_at_s
            and submission.responded_at_s < window_end_s
            for submission in environment.callers.find_submissions(
                environment.callers.key_of_task(task_id)
            )
            if submission.response is not None
        )


@dataclass(frozen=True, slots=True)
class ExpectTotal(Step):
    """Expects one of the totals of the scenario to have a given value.

    :param total: name of a field of `Totals`.
    """

    total: str
    count: int

    async def run(self, environment: Environment) -> None:
        """Wait for all responses and compare."""
        await environment.callers.wait_until_done()
        totals: Totals = count_totals(environment)
        found = getattr(totals, self.total)
        if found != self.count:
            raise StepFailed(f'{self.total}: found {found}, expected {self.count}')


def _describe_outcomes(submissions: list[Submission]) -> str:
    if not submissions:
        return 'no request was sent'
    outcomes = [
        f'{each.key} {each.verdict.value} {each.response.code if each.response else ""}'
        for each in submissions[:5]
    ]
    return (
        f'{len(submissions)} requests ended with another outcome: {"; ".join(outcomes)}'
    )
