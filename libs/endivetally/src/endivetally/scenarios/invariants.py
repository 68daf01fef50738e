"""What must hold at the end of every scenario, whatever it expects."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from endivetally.load.responses import Verdict
from endivetally.scenarios.callers import Submission
from endivetally.scenarios.callers import runs_at_most_once
from endivetally.scenarios.environment import Environment
from endivetally.scenarios.operators import find_reverted
from endivetally.scenarios.start_records import TaskStart


class Totals(msgspec.Struct, frozen=True):
    """Counts over a scenario.

    :param starts: starts that targets recorded.
    :param doubled: tasks that may start at most once and started more often.
    :param partial: answers with status 200 that were not whole, or not the
        caller's own.
    :param lost: keys of which no submission was ever answered.
    :param interrupted: requests whose connection ended without an answer, or
        whose answer was neither whole nor a refusal.
    """

    starts: int
    doubled: int
    partial: int
    lost: int
    interrupted: int


def count_totals(environment: Environment) -> Totals:
    """Return the totals so far."""
    starts = environment.starts.count_by_task()
    submissions = environment.callers.submissions
    ended = [each for each in submissions if each.response is not None]
    return Totals(
        starts=starts.total(),
        doubled=_count_doubled(submissions, starts),
        partial=sum(each.verdict is Verdict.PARTIAL for each in ended),
        lost=len(_lost_keys(ended)),
        interrupted=sum(map(_was_interrupted, ended)),
    )


def count_outcomes(submissions: list[Submission]) -> dict[str, dict[str, int]]:
    """Return how many requests of each label ended in each way."""
    counts: dict[str, dict[str, int]] = {}
    for submission in submissions:
        code = submission.response.code if submission.response else ''
        ending = f'{submission.verdict.value} {code}'.strip()
        endings = counts.setdefault(submission.label, {})
        endings[ending] = endings.get(ending, 0) + 1
    return counts


def check_invariants(environment: Environment) -> list[str]:
    """Return what does not hold, a sentence each."""
    totals = count_totals(environment)
    problems: list[str] = []
    if totals.doubled:
        problems.append(f'{totals.doubled} tasks started more than once')
    if totals.partial:
        problems.append(f'{totals.partial} answers were partial or not the own one')
    problems += [
        f'{key} ran after a refusal' for key in _find_runs_after_refusal(environment)
    ]
    problems += [
        f'{name} went back'
        for name in find_reverted(environment.operators.observed_versions)
    ]
    problems += [f'not stopped cleanly: {name}' for name in environment.unclean_exits]
    return problems


def _count_doubled(submissions: list[Submission], starts: Counter[str]) -> int:
    keys = {each.key for each in submissions if runs_at_most_once(each.arrival)}
    return sum(
        count > 1 and task_id.rpartition('/')[0] in keys
        for task_id, count in starts.items()
    )


def _lost_keys(ended: list[Submission]) -> set[str]:
    keys = {each.key for each in ended}
    return keys - {each.key for each in ended if each.verdict is not Verdict.LOST}


def _was_interrupted(submission: Submission) -> bool:
    answered = submission.verdict in {Verdict.COMPLETE, Verdict.REFUSED}
    return bool(submission.broken_connections) or not answered


def _find_runs_after_refusal(environment: Environment) -> Iterator[str]:
    """Yield keys that were refused as not run and had run, or ran later.

    A key may run after a refusal for another submission that was open then or
    came later.
    """
    starts = environment.starts.read_all()
    for refused in environment.callers.submissions:
        if refused.verdict is Verdict.REFUSED:
            times = _find_start_times(starts, refused.key)
            if contradicts_refusal(
                refused, environment.callers.find_submissions(refused.key), times
            ):
                yield refused.key


def contradicts_refusal(
    refused: Submission,
    submissions: list[Submission],
    times: list[float],
) -> bool:
    """Return whether starts of a key contradict a refusal as not run.

    :param submissions: all submissions of the key.
    :param times: wall times of its starts.
    """
    if any(started_s <= refused.responded_at_s for started_s in times):
        return not any(
            other is not refused
            and other.sent_at_s < refused.responded_at_s
            and not runs_at_most_once(other.arrival)
            for other in submissions
        )
    later = [
        other
        for other in submissions
        if other is not refused
        and (other.response is None or other.responded_at_s > refused.responded_at_s)
    ]
    return bool(times) and not later


def _find_start_times(starts: list[TaskStart], key: str) -> list[float]:
    return [
        each.started_at_s for each in starts if each.task_id.rpartition('/')[0] == key
    ]
