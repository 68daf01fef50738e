"""Short soak tests: the seeds of CI, and seeds that have failed before."""

import json

import pytest
from endivetally.cli import app
from typer.testing import CliRunner

# Minutes of faults, number of entries and number of agents.
SMALL = ('0.1', '2', '3')
MEDIUM = ('0.25', '3', '5')


@pytest.mark.parametrize(
    ('seed', 'size'),
    [
        (1, SMALL),
        (2, SMALL),
        # The checks reported a missing response for calls on persistent connections
        # that had been blackholed before.
        (213, MEDIUM),
        (219, MEDIUM),
        (305, MEDIUM),
    ],
)
def test_no_guarantee_is_broken(seed, size, tmp_path):
    minutes, entries, agents = size
    arguments = ['soak', '--seed', str(seed), '--minutes', minutes, '--json']
    arguments += ['--entries', entries, '--agents', agents, '--logs', str(tmp_path)]
    check_run(arguments, seed)


def test_no_guarantee_is_broken_in_a_large_deployment(tmp_path):
    # A process was ended by a SIGHUP that arrived while it started.
    arguments = ['soak', '--seed', '953', '--minutes', '0.25', '--json', '--large']
    check_run([*arguments, '--logs', str(tmp_path)], 953)


def check_run(arguments, seed):
    result = CliRunner().invoke(app, arguments)
    report = json.loads(result.stdout)
    assert report['violations'] == []
    assert report['seeds'] == [seed]
    assert report['requests']['completed'] > 0
    assert result.exit_code == 0
