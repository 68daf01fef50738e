"""Detection of runs that a target lists although their end was reported."""

import json

import pytest
from endivetally_core.events import EventLog
from endivetally_held.jobs import TaskKey
from endivetally_held.reappearance import REMEMBERED_RUNS
from endivetally_held.reappearance import ReappearanceDetector
from endivetally_held.runs import EndEvidence
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd


def ended_run(evidence, number=0):
    run = Run(TaskKey('j', 0, number), 1, 'entry', '', Resources(1, 1), 0.1, 1, 2)
    run.evidence = evidence
    return run


class Recorder:
    """A detector with a clock that a test sets, and the events that it emits."""

    def __init__(self):
        self.now = 10.0
        self.lines = []
        self.events = EventLog('test', 'test', write=self.lines.append)
        self.detector = ReappearanceDetector(self.events, lambda: self.now)

    def read_events(self):
        self.events.close()
        return [json.loads(line) for batch in self.lines for line in batch.splitlines()]


@pytest.mark.parametrize(
    ('evidence', 'end', 'reported'),
    [
        (EndEvidence.ABSENT_AFTER_DEADLINE, None, True),
        (EndEvidence.ABSENT_AFTER_DEADLINE, RunEnd.DONE, True),
        (EndEvidence.ABSENT_AFTER_STOP, None, True),
        (EndEvidence.LEASE_OVER, None, True),
        (EndEvidence.LEASE_OVER, RunEnd.LEASE_EXPIRED, False),
        (EndEvidence.LISTED, None, False),
    ],
)
def test_run_listed_after_its_end_is_reported_once(evidence, end, reported):
    recorder = Recorder()
    run = ended_run(evidence)
    recorder.detector.record_end(run)
    recorder.now += 0.25
    for _ in range(2):
        recorder.detector.check(run.task, run.run_number, end)
    events = recorder.read_events()
    assert len(events) == reported
    if reported:
        assert events[0]['event'] == 'run_reappeared'
        assert events[0]['task'] == 'j/0/0'
        assert events[0]['evidence'] == evidence.value
        assert events[0]['listed'] == ('running' if end is None else end.value)
        assert events[0]['ended_ms_ago'] == 250


def test_memory_of_ended_runs_is_bounded():
    recorder = Recorder()
    for number in range(REMEMBERED_RUNS + 1):
        recorder.detector.record_end(ended_run(EndEvidence.ABSENT_AFTER_STOP, number))
    for number in (0, 1):
        recorder.detector.check(TaskKey('j', 0, number), 1, None)
    assert [event['task'] for event in recorder.read_events()] == ['j/0/1']


def test_a_stop_accepted_after_the_end_does_not_change_what_it_was_concluded_from():
    recorder = Recorder()
    run = ended_run(EndEvidence.LEASE_OVER)
    run.state = RunState.ENDED
    recorder.detector.record_end(run)
    run.settle(recorder.now, EndEvidence.ABSENT_AFTER_STOP)
    recorder.detector.check(run.task, run.run_number, RunEnd.LEASE_EXPIRED)
    assert recorder.read_events() == []
