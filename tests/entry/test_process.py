"""Tests of starting the daemon from the command line."""

import json
import socket
import subprocess
import sys

import pytest


def _run_entry(*arguments):
    command = [sys.executable, '-m', 'endivetally_entry', *map(str, arguments)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def _settings(port, **fields):
    address = {'host': '127.0.0.1', 'port': port}
    names = {'name': 'entry-1', 'data_centre': 'dc-1', 'operator_token': 'secret'}
    return {**names, 'listen': address, 'table': address, **fields}


@pytest.fixture
def taken_port():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield listener.getsockname()[1]


@pytest.mark.parametrize(
    ('fields', 'message'),
    [({}, 'Address already in use'), ({'nane': 'x'}, '$.nane: unknown field')],
)
def test_unusable_settings_end_the_process_with_a_message(
    tmp_path, taken_port, fields, message
):
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(_settings(taken_port, **fields)))
    result = _run_entry(path)
    assert result.returncode == 2
    assert message in result.stderr
    assert 'Traceback' not in result.stderr


@pytest.mark.parametrize('arguments', [[], ['a.json', 'b.json'], ['no-such-file']])
def test_wrong_arguments_end_the_process_without_a_traceback(arguments):
    result = _run_entry(*arguments)
    assert result.returncode == 2
    assert 'Traceback' not in result.stderr
