"""Steps that check what callers received and what targets started."""

import operator
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from endivetally.load.responses import Verdict
from endivetally.scenarios.callers import Submission
from endivetally.scenarios.judgement import Totals
from endivetally.scenarios.judgement import judge_totals
from endivetally.scenarios.stage import Absence
from endivetally.scenarios.stage import Stage
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed
from endivetally.scenarios.wait_steps import WaitAnswers

BOUNDS: Final[Mapping[str, Callable[[int, int], bool]]] = {
    'exactly': operator.eq,
    'at most': operator.le,
    'at least': operator.ge,
}


@dataclass(frozen=True, slots=True)
class AllowedAnswer:
    """An answer that an expectation allows.

    :param code: error code; empty allows any.
    """

    verdict: Verdict
    code: str = ''

    def allows(self, submission: Submission) -> bool:
        """Return whether an answer is of this kind."""
        if submission.verdict is not self.verdict or submission.answer is None:
            return False
        return self.code in {'', submission.answer.code}


@dataclass(frozen=True, slots=True)
class ExpectAnswers(Step):
    """Every request of a label ends in one of the allowed ways."""

    label: str
    allowed: tuple[AllowedAnswer, ...]

    async def run(self, stage: Stage) -> None:
        """Wait for the answers and check each."""
        await WaitAnswers(self.label).run(stage)
        found = stage.callers.labelled(self.label)
        wrong = [each for each in found if not self._allows(each)]
        if wrong or not found:
            raise StepFailed(f'{self.label}: {_describe(wrong)}')

    def _allows(self, submission: Submission) -> bool:
        return any(allowed.allows(submission) for allowed in self.allowed)


@dataclass(frozen=True, slots=True)
class ExpectStarts(Step):
    """The number of starts of a label, by the records of the targets.

    :param bound: ``exactly``, ``at most`` or ``at least``.
    """

    label: str
    bound: str
    count: int

    async def run(self, stage: Stage) -> None:
        """Count the starts so far."""
        keys = stage.callers.keys_of(self.label)
        ids = [start.id for start in stage.starts.read()]
        started = sum(stage.callers.key_of(task_id) in keys for task_id in ids)
        if not BOUNDS[self.bound](started, self.count):
            wanted = f'{self.bound} {self.count}'
            raise StepFailed(f'{self.label}: {started} starts, not {wanted}')


@dataclass(frozen=True, slots=True)
class ExpectAnswered(Step):
    """Every request of a label has an answer within a time."""

    label: str
    seconds: float

    async def run(self, stage: Stage) -> None:
        """Wait for the answers and compare their times."""
        await WaitAnswers(self.label).run(stage)
        times = [
            submission.answered_s - submission.sent_s
            for submission in stage.callers.labelled(self.label)
        ]
        if max(times) > self.seconds:
            raise StepFailed(f'{self.label}: answered after {max(times):.2f} s')


@dataclass(frozen=True, slots=True)
class ExpectNoNewWork(Step):
    """Targets that left or froze get nothing new after a time.

    A start breaks this when it was recorded later than that during the absence,
    or when its request came later than that and was answered before the end.
    """

    selector: Selector
    seconds: float

    async def run(self, stage: Stage) -> None:
        """Compare the starts with the absences."""
        names = await self.selector.select(stage)
        absences = [each for each in stage.absences if each.process in names]
        if not absences:
            raise StepFailed(f'{names} were never stopped or frozen')
        late = [
            start.id
            for start in stage.starts.read()
            for absence in absences
            if start.recorded_by == absence.process
            and self._is_new_work(stage, absence, start.id, start.time_s)
        ]
        if late:
            raise StepFailed(f'new work at {names}: {sorted(set(late))}')

    def _is_new_work(
        self,
        stage: Stage,
        absence: Absence,
        task_id: str,
        started_s: float,
    ) -> bool:
        begins_s = absence.began_s + self.seconds
        ends_s = absence.ended_s or float('inf')
        if begins_s < started_s < ends_s:
            return True
        return any(
            begins_s < submission.sent_s and submission.answered_s < ends_s
            for submission in stage.callers.labelled(stage.callers.key_of(task_id))
            if submission.answer is not None
        )


@dataclass(frozen=True, slots=True)
class ExpectTotal(Step):
    """One of the totals of the report so far."""

    total: str
    count: int

    async def run(self, stage: Stage) -> None:
        """Wait for all answers and compare."""
        await stage.callers.wait()
        totals: Totals = judge_totals(stage)
        found = getattr(totals, self.total)
        if found != self.count:
            raise StepFailed(f'{self.total}: {found}, not {self.count}')


def _describe(submissions: list[Submission]) -> str:
    if not submissions:
        return 'nothing was sent'
    answers = [
        f'{each.key} {each.verdict.value} {each.answer.code if each.answer else ""}'
        for each in submissions[:5]
    ]
    return f'{len(submissions)} not as expected: {"; ".join(answers)}'
