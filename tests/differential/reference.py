"""A naive dispatcher: one process, no faults, everything in order."""

import json
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True)
class Work:
    """What one submission asks for: a key of a team and the tasks behind it."""

    team: str
    service: str
    key: str
    tasks: tuple[bytes, ...]

    @property
    def idempotent(self):
        return self.service == 'lookups'

    @property
    def name(self):
        return (self.team, self.service, self.key)


@dataclass
class NaiveDispatcher:
    """Runs each submission when it comes and remembers the answers by key."""

    starts: list = field(default_factory=list)
    _answers: dict = field(default_factory=dict)
    _bodies: dict = field(default_factory=dict)

    def submit(self, work):
        """Return the body of the whole answer, or the code of the error."""
        if work.idempotent:
            return self._run(work)
        if self._bodies.setdefault(work.name, work.tasks) != work.tasks:
            return 'key_conflict'
        if work.name not in self._answers:
            self._answers[work.name] = self._run(work)
        return self._answers[work.name]

    def _run(self, work):
        results = []
        for payload in work.tasks:
            self.starts.append(payload)
            if fails(payload):
                return 'task_failed'
            results.append(perform(payload))
        return whole(work, results)


def fails(payload):
    """Return whether the target fails a task."""
    return json.loads(payload)['fails']


def perform(payload):
    """Return what the target answers to a task."""
    return b'{"did":%b}' % payload


def whole(work, results):
    """Return the body of the whole answer."""
    if work.service == 'sweeps':
        return b'{"results":[%b]}' % b','.join(results)
    return results[0]
