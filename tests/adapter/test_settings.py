"""A settings file that is being written while a process starts or reloads it."""

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest
from endivetally_config.exceptions import SettingsInvalid
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_platform import settings as settings_module
from endivetally_platform.programs import AgentProgram
from endivetally_platform.settings import SETTINGS_VARIABLE
from endivetally_platform.settings import load_settings
from endivetally_platform.settings import wait_for_settings
from endivetally_platform.standins import ProcessSettings

SETTINGS = ProcessSettings('agent-1', '127.0.0.1', 'north', Address('127.0.0.1', 1), 6)


@pytest.fixture
def settings_file(tmp_path, monkeypatch):
    path = tmp_path / 'settings.toml'
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return path


def write_part(path, state):
    """Leave the file as it is at some moment while it is written.

    :param state: ``missing``, ``empty``, or the last characters that are written.
    """
    if state == 'missing':
        path.unlink(missing_ok=True)
        return
    SETTINGS.write(path)
    content = path.read_text()
    path.write_text(content[: content.index(state) + len(state)] if state else '')


@pytest.mark.parametrize(('line', 'overage'), [('', 1.0), ('coldOverage = 1.5', 1.5)])
def test_cold_targets_count_as_others_without_a_setting(settings_file, line, overage):
    SETTINGS.write(settings_file)
    content = settings_file.read_text()
    assert '[bounds]' in content
    settings_file.write_text(content.replace('[bounds]', f'[bounds]\n{line}'))
    assert load_settings().bounds.cold_overage == overage


@pytest.mark.parametrize(
    ('contact_ms', 'interval_ms', 'age_s'),
    [(3000, 1500, 3.5), (4000, 1000, 4.0), (500, 200, 0.4)],
)
def test_reports_tell_the_capacity_until_a_smaller_one_counts(
    contact_ms, interval_ms, age_s, settings_file
):
    SETTINGS.write(settings_file)
    content = settings_file.read_text()
    bounds = f'[bounds]\ncontactMs = {contact_ms}'
    content = content.replace('[bounds]', bounds)
    settings_file.write_text(f'heartbeatMs = {interval_ms}\n{content}')
    assert load_settings().max_report_age_s == age_s


STATES = pytest.mark.parametrize(
    'state', ['missing', '', 'ip = "12', 'front = ', 'zone']
)


@STATES
async def test_a_start_waits_until_the_file_is_whole(state, settings_file):
    write_part(settings_file, state)
    loop = asyncio.get_running_loop()
    loop.call_later(0.2, SETTINGS.write, settings_file)
    assert (await wait_for_settings()).node_name == 'agent-1'


@STATES
async def test_a_start_gives_up_in_time(state, settings_file, monkeypatch):
    monkeypatch.setattr(settings_module, 'SETTINGS_WAIT_S', 0.2)
    write_part(settings_file, state)
    with pytest.raises(SettingsInvalid, match=r'settings\.toml'):
        await asyncio.wait_for(wait_for_settings(), 60)


@pytest.mark.parametrize(
    ('state', 'reason'), [('', 'nodeName'), ('missing', 'No such file'), (None, 'set')]
)
def test_a_program_names_what_is_wrong_when_it_gives_up(state, reason, settings_file):
    environment = dict(os.environ)
    if state is None:
        del environment[SETTINGS_VARIABLE]
    else:
        write_part(settings_file, state)
    ended = subprocess.run(
        [sys.executable, '-m', 'endivetally_platform', 'agent'],
        env=environment,
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert ended.returncode == 1
    assert ended.stderr == b''
    line = json.loads(ended.stdout)
    assert (line['event'], line['process']) == ('settings_unusable', 'agent')
    assert reason in line['error']


@STATES
async def test_a_reload_keeps_the_last_settings(state, settings_file):
    SETTINGS.write(settings_file)
    lines = []
    events = EventLog('agent-1', 'agent-1.0', write=lines.append)
    program = AgentProgram(load_settings(), events, 'agent-1.0')
    program.install_signal_handlers()
    before = program.settings
    write_part(settings_file, state)
    os.kill(os.getpid(), signal.SIGHUP)
    await asyncio.sleep(0.01)
    events.close()
    line = json.loads(b''.join(lines))
    assert program.settings is before
    assert line['event'] == 'settings_reloaded'
    assert line['error']
