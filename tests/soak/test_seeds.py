"""Short runs of the soak: the seeds of CI, and those that ever failed."""

import json

import pytest
from endivetally.cli import app
from typer.testing import CliRunner

# The last ones are regression cases; docs/SOAK.md tells their causes.
SEEDS = (1, 2)


@pytest.mark.parametrize('seed', SEEDS)
def test_no_promise_is_broken(seed, tmp_path):
    arguments = ['soak', '--seed', str(seed), '--minutes', '0.1', '--json']
    arguments += ['--logs', str(tmp_path), '--entries', '2', '--agents', '3']
    played = CliRunner().invoke(app, arguments)
    report = json.loads(played.stdout)
    assert report['violations'] == []
    assert report['seeds'] == [seed]
    assert report['requests']['completed'] > 0
    assert played.exit_code == 0
