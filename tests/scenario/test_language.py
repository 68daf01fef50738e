"""Tests of the parser of scenarios, process names and refusal checks."""

from pathlib import Path

import pytest
from endivetally.load.mix import Arrival
from endivetally.load.responses import CheckedResponse
from endivetally.load.responses import Verdict
from endivetally.scenarios import ScenarioInvalid
from endivetally.scenarios import caller_steps
from endivetally.scenarios import expectations
from endivetally.scenarios import fault_steps
from endivetally.scenarios import parse_scenario
from endivetally.scenarios import process_steps
from endivetally.scenarios import selectors
from endivetally.scenarios import wait_steps
from endivetally.scenarios.callers import Submission
from endivetally.scenarios.invariants import contradicts_refusal
from endivetally.scenarios.process_names import ProcessNames
from endivetally.scenarios.steps import StepFailed
from endivetally_config.operator_config import ServiceKind

HEADER = """scenario "a name"
promise 5
fleet with 2 entries in 2 data centres, sweeps 3, notes 1
"""
FILES = sorted((Path(__file__).parents[1] / 'scenarios').glob('*.scn'))


def _parse_step(line):
    return parse_scenario(f'{HEADER}{line}\n').lines[0].step


class TestParse:
    def test_header_sets_name_promise_and_deployment(self):
        scenario = parse_scenario(f'# note\n{HEADER}pause 1 s\n')
        assert (scenario.name, scenario.promise) == ('a name', 5)
        assert len(scenario.deployment.entries) == 2
        assert [each.name for each in scenario.deployment.config.services] == [
            'sweeps',
            'notes',
        ]
        assert scenario.lines[0].number == 5

    @pytest.mark.parametrize(
        ('line', 'step'),
        [
            (
                'submit k1 to sweeps with 3 tasks of 50 ms via entry-1',
                caller_steps.Submit(
                    None,
                    'k1',
                    'sweeps',
                    caller_steps.TaskSpec(3, 50),
                    selectors.NamedProcesses('entry-1'),
                ),
            ),
            (
                'submit 4 requests n to notes of 50 ms',
                caller_steps.Submit(
                    4, 'n', 'notes', caller_steps.TaskSpec(1, 50), None
                ),
            ),
            (
                'freeze owner of k1',
                process_steps.Freeze(selectors.KeyOwner('k1')),
            ),
            (
                'kill agent of k1',
                process_steps.Kill(selectors.ProcessRunningKey('agent', 'k1')),
            ),
            (
                'cut entry-1 from every agent',
                fault_steps.ShapeLinks(
                    selectors.NamedProcesses('entry-1'),
                    selectors.AllOfRole('agent'),
                    {'cut': True},
                ),
            ),
            ('table loses 2 answers', fault_steps.SetTableFaults({'lose_answers': 2})),
            (
                'make target-1 slow 20 times',
                fault_steps.SetTargetFaults(
                    selectors.NamedProcesses('target-1'), {'slow_factor': 20}
                ),
            ),
            ('wait for 3 starts of k1', wait_steps.WaitStarts(3, 'k1')),
            ('pause 0.5 s', wait_steps.Pause(0.5)),
            (
                'expect k1 whole or failed task_failed',
                expectations.ExpectOutcomes(
                    'k1',
                    (
                        expectations.AllowedOutcome(Verdict.COMPLETE),
                        expectations.AllowedOutcome(Verdict.FAILED, 'task_failed'),
                    ),
                ),
            ),
            (
                'expect starts of k1 at most 3',
                expectations.ExpectStarts('k1', 'at most', 3),
            ),
            ('expect doubled 0', expectations.ExpectTotal('doubled', 0)),
        ],
    )
    def test_line_is_parsed_into_its_step(self, line, step):
        assert _parse_step(line) == step

    @pytest.mark.parametrize(
        'line',
        ['explode entry-1', 'submit k1 to sweeps', 'expect k1 nice', 'pause s'],
    )
    def test_invalid_lines_are_rejected(self, line):
        with pytest.raises(ScenarioInvalid):
            _parse_step(line)

    @pytest.mark.parametrize('file', FILES, ids=lambda file: file.stem)
    def test_every_scenario_file_parses(self, file):
        assert parse_scenario(file.read_text()).lines


class TestProcessNames:
    @pytest.mark.parametrize(
        ('name', 'expected'),
        [
            ('entry-2', ['entry-2']),
            ('rack-2', ['agent-2', 'target-2', 'agent-4', 'target-4']),
            ('given', ['agent-1']),
        ],
    )
    def test_name_resolves_to_its_processes(self, name, expected):
        process_names = ProcessNames(parse_scenario(f'{HEADER}pause 1 s\n').deployment)
        process_names.define_alias('given', ['agent-1'])
        assert process_names.resolve_name(name) == expected

    def test_unknown_name_fails_the_step(self):
        process_names = ProcessNames(parse_scenario(f'{HEADER}pause 1 s\n').deployment)
        with pytest.raises(StepFailed):
            process_names.resolve_name('nobody')


def _submission(kind, sent_at_s, responded_at_s, verdict):
    arrival = Arrival(0, 'notes', kind, 'k1', [1])
    submission = Submission('k1', arrival, sent_at_s)
    submission.response = CheckedResponse(verdict)
    submission.responded_at_s = responded_at_s
    return submission


class TestRefusals:
    @pytest.mark.parametrize(
        ('other', 'starts', 'expected'),
        [
            (None, [], False),
            (None, [1.5], True),
            (None, [5.0], True),
            ((3.0, 4.0, Verdict.COMPLETE), [3.5], False),
            ((3.0, 4.0, Verdict.COMPLETE), [1.5], True),
            ((0.5, 1.8, Verdict.COMPLETE), [1.5], True),
        ],
    )
    def test_starts_of_a_refused_key_need_a_later_submission(
        self, other, starts, expected
    ):
        kind = ServiceKind.NON_IDEMPOTENT
        refused = _submission(kind, 1.0, 2.0, Verdict.REFUSED)
        submissions = [refused]
        if other is not None:
            submissions.append(_submission(kind, *other))
        assert contradicts_refusal(refused, submissions, starts) is expected
