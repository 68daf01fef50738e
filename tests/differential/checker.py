"""Compares what callers and targets saw with the naive dispatcher."""

import json
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

from differential.reference import NaiveDispatcher
from differential.reference import Work
from differential.reference import fails

EXCLUSIVE = ('fetches', 'sweeps')


@dataclass(eq=False)
class Submission:
    """One call of one caller, and its answer."""

    work: Work
    cancel: bool = False
    entry: str = ''
    code: str | None = None
    ran: str = ''
    body: bytes = b''
    answered: bool = False


@dataclass
class Judge:
    """Collects the faults of a run."""

    faults: list = field(default_factory=list)
    submissions: list = field(default_factory=list)
    starts: list = field(default_factory=list)
    _by_name: dict = field(default_factory=lambda: defaultdict(list))
    _tasks: Counter = field(default_factory=Counter)
    _keys: Counter = field(default_factory=Counter)

    def submitted(self, submission):
        self.submissions.append(submission)
        if not submission.cancel:
            self._by_name[submission.work.name].append(submission)

    def started(self, dispatch):
        self.starts.append(bytes(dispatch.payload))
        name = _name(dispatch.payload)
        self._keys[name] += 1
        if dispatch.service in EXCLUSIVE:
            task = (*name, dispatch.attempt_id.number)
            self._tasks[task] += 1
            if self._tasks[task] > 1:
                self.faults.append(f'started twice: {task}')
        if not any(each.ran != 'not_run' for each in self._by_name[name]):
            self.faults.append(f'started after every answer was not_run: {name}')

    def answered(self, submission, answer, ran, *, stale):
        """Take an answer; a stale owner may not know of other submissions."""
        submission.answered = True
        submission.code = answer.error_kind.value if answer.error_kind else None
        submission.body = answer.body
        submission.ran = ran
        if submission.cancel:
            return
        work = submission.work
        if answer.error_kind is None:
            self._check_whole(work, submission)
        elif ran == 'not_run' and submission.code != 'key_conflict':
            self._check_not_run(submission, stale=stale)

    def crashed(self, error):
        self.faults.append(f'a task ended: {error!r}')

    def check_end(self, dead):
        """Check that everybody whose entry lives was answered."""
        for submission in self.submissions:
            if not submission.answered and submission.entry not in dead:
                self.faults.append(f'never answered: {submission}')

    def check_equal(self):
        """Check for the very answers and starts of the naive dispatcher."""
        naive = NaiveDispatcher()
        for submission in self.submissions:
            expected = naive.submit(submission.work)
            seen = submission.code or submission.body
            if seen != expected:
                self.faults.append(f'naive: {expected}, ours: {seen}')
        # A job with a failing task may have started its other tasks or not.
        failing = {work.name for work in self._works() if any(map(fails, work.tasks))}
        if _starts(naive.starts, failing) != _starts(self.starts, failing):
            self.faults.append('other starts than the naive dispatcher')

    def _works(self):
        return [submission.work for submission in self.submissions]

    def _check_whole(self, work, submission):
        expected = NaiveDispatcher().submit(work)
        if submission.body != expected:
            self.faults.append(f'naive: {expected}, ours: {submission.body}')

    def _check_not_run(self, submission, *, stale):
        name = submission.work.name
        others = [each for each in self._by_name[name] if each is not submission]
        shared = any(each.ran != 'not_run' for each in others)
        explained = shared and (stale or submission.work.idempotent)
        if self._keys[name] and not explained:
            self.faults.append(f'not_run, but started: {name}')


def _starts(payloads, failing):
    names = [(_name(payload), payload) for payload in payloads]
    return Counter(payload for name, payload in names if name not in failing)


def _name(payload):
    script = json.loads(payload)
    return (script['team'], script['service'], script['key'])
