"""Reference model of the dispatcher: one process, no faults, sequential."""

import json
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True)
class RequestSpec:
    """What a submission asks for: a key of a team and the payloads of its tasks."""

    team: str
    service: str
    key: str
    tasks: tuple[bytes, ...]

    @property
    def idempotent(self):
        return self.service == 'lookups'

    @property
    def scoped_key(self):
        return (self.team, self.service, self.key)


@dataclass
class ReferenceDispatcher:
    """Runs each submission at once and stores the responses by key.

    :param starts: payloads of the started tasks, in order.
    """

    starts: list = field(default_factory=list)
    _responses: dict = field(default_factory=dict)
    _tasks_by_key: dict = field(default_factory=dict)

    def submit(self, spec):
        """Return the body of the complete response, or the code of the error."""
        if spec.idempotent:
            return self._run_tasks(spec)
        if self._tasks_by_key.setdefault(spec.scoped_key, spec.tasks) != spec.tasks:
            return 'key_conflict'
        if spec.scoped_key not in self._responses:
            self._responses[spec.scoped_key] = self._run_tasks(spec)
        return self._responses[spec.scoped_key]

    def _run_tasks(self, spec):
        results = []
        for payload in spec.tasks:
            self.starts.append(payload)
            if fails(payload):
                return 'task_failed'
            results.append(execute(payload))
        return encode_response(spec, results)


def fails(payload):
    """Return whether the target fails the task of a payload."""
    return json.loads(payload)['fails']


def execute(payload):
    """Return the result that the target gives for a task."""
    return b'{"did":%b}' % payload


def encode_response(spec, results):
    """Return the body of the complete response."""
    if spec.service == 'sweeps':
        return b'{"results":[%b]}' % b','.join(results)
    return results[0]
