"""Checks the observed responses and task starts against the reference model."""

import json
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field

from differential.reference import ReferenceDispatcher
from differential.reference import RequestSpec
from differential.reference import fails

EXCLUSIVE_SERVICES = ('fetches', 'sweeps')


@dataclass(eq=False)
class Submission:
    """One call of a caller, and the response to it.

    :param ran: execution state in the response: ``ran``, ``not_run`` or ``unknown``.
    """

    spec: RequestSpec
    cancel: bool = False
    entry: str = ''
    code: str | None = None
    ran: str = ''
    body: bytes = b''
    has_response: bool = False


@dataclass
class Checker:
    """Records submissions, task starts and responses, and collects violations.

    :param faults: descriptions of the violations.
    """

    faults: list = field(default_factory=list)
    submissions: list = field(default_factory=list)
    starts: list = field(default_factory=list)
    _submissions_by_key: dict = field(default_factory=lambda: defaultdict(list))
    _starts_by_task: Counter = field(default_factory=Counter)
    _starts_by_key: Counter = field(default_factory=Counter)

    def record_submission(self, submission):
        self.submissions.append(submission)
        if not submission.cancel:
            self._submissions_by_key[submission.spec.scoped_key].append(submission)

    def record_start(self, dispatch):
        self.starts.append(bytes(dispatch.payload))
        scoped_key = _scoped_key(dispatch.payload)
        self._starts_by_key[scoped_key] += 1
        if dispatch.service in EXCLUSIVE_SERVICES:
            task = (*scoped_key, dispatch.attempt_id.number)
            self._starts_by_task[task] += 1
            if self._starts_by_task[task] > 1:
                self.faults.append(f'started twice: {task}')
        if not any(
            each.ran != 'not_run' for each in self._submissions_by_key[scoped_key]
        ):
            self.faults.append(
                f'started although every response was not_run: {scoped_key}'
            )

    def record_response(self, submission, response, ran, *, stale):
        """Record and check a response.

        :param stale: whether the entry was frozen before, so that it may not know
            of submissions of the same key to other entries.
        """
        submission.has_response = True
        submission.code = response.error_kind.value if response.error_kind else None
        submission.body = response.body
        submission.ran = ran
        if submission.cancel:
            return
        spec = submission.spec
        if response.error_kind is None:
            self._check_complete_response(spec, submission)
        elif ran == 'not_run' and submission.code != 'key_conflict':
            self._check_not_run(submission, stale=stale)

    def record_crash(self, error):
        self.faults.append(f'a task raised: {error!r}')

    def check_all_completed(self, dead):
        """Check that each submission has a response, unless its entry was killed.

        :param dead: incarnations of the killed entries.
        """
        for submission in self.submissions:
            if not submission.has_response and submission.entry not in dead:
                self.faults.append(f'no response: {submission}')

    def check_equal(self):
        """Check that responses and starts equal those of the reference model."""
        reference = ReferenceDispatcher()
        for submission in self.submissions:
            expected = reference.submit(submission.spec)
            observed = submission.code or submission.body
            if observed != expected:
                self.faults.append(f'expected: {expected}, observed: {observed}')
        # Jobs with a failing task are left out: their other tasks may start or not.
        failing = {
            spec.scoped_key for spec in self._specs() if any(map(fails, spec.tasks))
        }
        if _count_starts(reference.starts, failing) != _count_starts(
            self.starts, failing
        ):
            self.faults.append(
                'the task starts differ from those of the reference model'
            )

    def _specs(self):
        return [submission.spec for submission in self.submissions]

    def _check_complete_response(self, spec, submission):
        expected = ReferenceDispatcher().submit(spec)
        if submission.body != expected:
            self.faults.append(f'expected: {expected}, observed: {submission.body}')

    def _check_not_run(self, submission, *, stale):
        scoped_key = submission.spec.scoped_key
        others = [
            each
            for each in self._submissions_by_key[scoped_key]
            if each is not submission
        ]
        shared = any(each.ran != 'not_run' for each in others)
        explained = shared and (stale or submission.spec.idempotent)
        if self._starts_by_key[scoped_key] and not explained:
            self.faults.append(f'not_run, but started: {scoped_key}')


def _count_starts(payloads, failing):
    pairs = [(_scoped_key(payload), payload) for payload in payloads]
    return Counter(payload for key, payload in pairs if key not in failing)


def _scoped_key(payload):
    content = json.loads(payload)
    return (content['team'], content['service'], content['key'])
