"""Invariants that must hold at the end of every scenario."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from endivetally.load.responses import Verdict
from endivetally.scenarios.callers import Submission
from endivetally.scenarios.callers import runs_at_most_once
from endivetally.scenarios.environment import Environment
from endivetally.scenarios.operators import find_reverted_processes
from endivetally.scenarios.start_records import TaskStart


class Totals(msgspec.Struct, frozen=True):
    """Counts over a scenario.

    :param starts: task starts that targets recorded.
    :param doubled: tasks that may start at most once but started more often.
    :param partial: responses with status 200 that were incomplete or belonged
        to another request.
    :param lost: keys for which no submission ever got a response.
    :param interrupted: requests whose connection ended without a response, or
        whose response was neither complete nor a refusal.
    """

    starts: int
    doubled: int
    partial: int
    lost: int
    interrupted: int


def count_totals(environment: Environment) -> Totals:
    """Return the totals up to now."""
    starts = environment.starts.count_by_task()
    submissions = environment.callers.submissions
    ended = [each for each in submissions if each.response is not None]
    return Totals(
        starts=starts.total(),
        doubled=_count_doubled(submissions, starts),
        partial=sum(each.verdict is Verdict.PARTIAL for each in ended),
        lost=len(_find_lost_keys(ended)),
        interrupted=sum(map(_was_interrupted, ended)),
    )


def count_outcomes(submissions: list[Submission]) -> dict[str, dict[str, int]]:
    """Return the number of requests by label and outcome."""
    counts: dict[str, dict[str, int]] = {}
    for submission in submissions:
        code = submission.response.code if submission.response else ''
        outcome = f'{submission.verdict.value} {code}'.strip()
        outcomes = counts.setdefault(submission.label, {})
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    return counts


def check_invariants(environment: Environment) -> list[str]:
    """Return one sentence for each violated invariant."""
    totals = count_totals(environment)
    problems: list[str] = []
    if totals.doubled:
        problems.append(f'{totals.doubled} tasks started more than once')
    if totals.partial:
        problems.append(
            f'{totals.partial} responses were incomplete or of another request'
        )
    problems += [
        f'{key} was refused as not run but had starts'
        for key in _find_runs_after_refusal(environment)
    ]
    problems += [
        f'{name} went back to an older configuration'
        for name in find_reverted_processes(environment.operators.observed_versions)
    ]
    problems += [f'unclean exit: {name}' for name in environment.unclean_exits]
    return problems


def _count_doubled(submissions: list[Submission], starts: Counter[str]) -> int:
    keys = {each.key for each in submissions if runs_at_most_once(each.arrival)}
    return sum(
        count > 1 and task_id.rpartition('/')[0] in keys
        for task_id, count in starts.items()
    )


def _find_lost_keys(ended: list[Submission]) -> set[str]:
    keys = {each.key for each in ended}
    return keys - {each.key for each in ended if each.verdict is not Verdict.LOST}


def _was_interrupted(submission: Submission) -> bool:
    has_valid_end = submission.verdict in {Verdict.COMPLETE, Verdict.REFUSED}
    return bool(submission.broken_connections) or not has_valid_end


def _find_runs_after_refusal(environment: Environment) -> Iterator[str]:
    """Yield keys that were refused as not run but had started, or started later.

    A start after the refusal is allowed if another submission of the key was
    pending at that time or was sent later.
    """
    starts = environment.starts.read_all()
    for refused in environment.callers.submissions:
        if refused.verdict is Verdict.REFUSED:
            start_times = _find_start_times(starts, refused.key)
            if contradicts_refusal(
                refused, environment.callers.find_submissions(refused.key), start_times
            ):
                yield refused.key


def contradicts_refusal(
    refused: Submission,
    submissions: list[Submission],
    start_times: list[float],
) -> bool:
    """Return whether the starts of a key contradict a refusal as not run.

    :param refused: submission whose response says that nothing was run.
    :param submissions: all submissions of the key.
    :param start_times: wall times of the starts of the key, in seconds.
    """
    if any(started_at_s <= refused.responded_at_s for started_at_s in start_times):
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
    return bool(start_times) and not later


def _find_start_times(starts: list[TaskStart], key: str) -> list[float]:
    return [
        each.started_at_s for each in starts if each.task_id.rpartition('/')[0] == key
    ]
