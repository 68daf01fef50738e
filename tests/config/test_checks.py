"""Tests of the validation of settings files and of the operators' configuration."""

import copy
import json
import pathlib

import pytest
from endivetally_config.checks import check_config
from endivetally_config.checks import load_settings
from endivetally_config.exceptions import ConfigInvalid
from endivetally_config.exceptions import SettingsInvalid
from endivetally_config.settings import AgentSettings
from endivetally_config.settings import EntrySettings
from endivetally_config.structure import MAX_DOCUMENT_BYTES
from endivetally_core.errors import ErrorKind

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
CONFIG = {
    'services': [
        {'name': 'lookup', 'kind': 'idempotent'},
        {'name': 'sweep', 'kind': 'job', 'depends_on': ['lookup']},
        {'name': 'fetch', 'kind': 'non-idempotent'},
    ],
    'teams': [
        {'name': 'clerks', 'token': 'token-1'},
        {'name': 'firms', 'token': 'token-2'},
    ],
}
ENTRY_SETTINGS = {
    'name': 'entry-1',
    'data_centre': 'dc-1',
    'listen': {'host': '127.0.0.1', 'port': 0},
    'table': {'host': '127.0.0.1', 'port': 7000},
    'operator_token': 'secret',
}


def _replace_values(document, changes):
    document = copy.deepcopy(document)
    for path, content in changes.items():
        *parents, last = path
        container = document
        for key in parents:
            container = container[key]
        container[last] = content
    return document


def _find_faults(encoded):
    with pytest.raises(ConfigInvalid) as caught:
        check_config(encoded)
    return {fault.path: fault.message for fault in caught.value.faults}


def _build_services(count):
    return [{'name': f's{n}', 'kind': 'job'} for n in range(count)]


def _build_teams(count):
    return [{'name': f't{n}', 'token': f'token-{n}'} for n in range(count)]


class TestCheckConfig:
    def test_valid_configuration_is_decoded(self):
        config = check_config(json.dumps(CONFIG).encode())
        assert config.find_service('sweep').depends_on == ('lookup',)
        assert config.find_team('clerks').tasks_per_s == 1000

    @pytest.mark.parametrize(
        ('encoded', 'message'),
        [
            (b'', 'is not JSON'),
            (b'{"services": [', 'is not JSON'),
            (b'\xff\xfe', 'is not JSON'),
            (b'{"a": 1, "a": 2}', 'repeats the field a'),
            (b'{"largest_worker_memory_mb": NaN}', 'NaN is not a JSON value'),
            (b'[' * 100_000, 'is not JSON'),
            (b' ' * (MAX_DOCUMENT_BYTES + 1), 'the limit is'),
            (b'[]', 'expected an object, got array'),
            (b'null', 'expected an object, got null'),
        ],
    )
    def test_malformed_document_has_one_fault_at_its_root(self, encoded, message):
        faults = _find_faults(encoded)
        assert list(faults) == ['$']
        assert message in faults['$']

    @pytest.mark.parametrize(
        ('path', 'content', 'fault_path', 'message'),
        [
            (('servics',), [], '$.servics', 'unknown field'),
            (('services', 0, 'knd'), 'job', '$.services[0].knd', 'unknown field'),
            (('services', 0, 'kind'), 'maybe', '$.services[0].kind', 'invalid enum'),
            (('services', 0, 'run_ms'), '9', '$.services[0].run_ms', 'expected int'),
            (('services', 0, 'run_ms'), 0, '$.services[0].run_ms', '>= 1'),
            (('services', 0, 'run_ms'), True, '$.services[0].run_ms', 'expected int'),
            (('services', 0, 'deadline_ms'), -5, '$.services[0].deadline_ms', '>= 1'),
            (('services', 0, 'priority'), -1, '$.services[0].priority', '>= 0'),
            (('services', 0, 'memory_mb'), 0, '$.services[0].memory_mb', '>= 1'),
            (
                ('services', 0, 'memory_mb'),
                32_769,
                '$.services[0].memory_mb',
                '32769 MB, the largest worker has 32768 MB',
            ),
            (('services', 2, 'name'), 'a/b', '$.services[2].name', 'regex'),
            (('services', 2, 'name'), 'a\n', '$.services[2].name', 'regex'),
            (('services', 2, 'name'), [], '$.services[2].name', 'expected str'),
            (('services', 2, 'name'), None, '$.services[2].name', 'expected str'),
            (
                ('services', 0, 'objective'),
                {'availability': 1},
                '$.services[0].objective.availability',
                '< 1',
            ),
            (
                ('services', 0, 'objective'),
                {'availability': 0},
                '$.services[0].objective.availability',
                '> 0',
            ),
            (
                ('services', 0, 'objective'),
                {'response_ms': 0},
                '$.services[0].objective.response_ms',
                '>= 1',
            ),
            (
                ('services', 0, 'depends_on'),
                'lookup',
                '$.services[0].depends_on',
                'expected array, got str',
            ),
            (
                ('services', 0, 'depends_on'),
                ['nobody'],
                '$.services[0].depends_on[0]',
                'unknown service nobody',
            ),
            (
                ('services', 0, 'depends_on'),
                ['lookup'],
                '$.services[0].depends_on[0]',
                'lookup depends on itself',
            ),
            (
                ('services', 0, 'depends_on'),
                ['fetch', 'sweep'],
                '$.services[1].depends_on[0]',
                'cycle lookup -> sweep -> lookup',
            ),
            (
                ('services', 1, 'depends_on'),
                ['lookup', 'lookup'],
                '$.services[1].depends_on[1]',
                'the same as $.services[1].depends_on[0]',
            ),
            (
                ('services', 2, 'name'),
                'lookup',
                '$.services[2].name',
                'the same as $.services[0].name',
            ),
            (
                ('teams', 1, 'name'),
                'clerks',
                '$.teams[1].name',
                'the same as $.teams[0].name',
            ),
            (
                ('teams', 1, 'token'),
                'token-1',
                '$.teams[1].token',
                'the same as $.teams[0].token',
            ),
            (('teams', 0, 'token'), 'a b', '$.teams[0].token', 'regex'),
            (('teams', 0, 'token'), 'a\n', '$.teams[0].token', 'regex'),
            (('teams', 0, 'weight'), 0, '$.teams[0].weight', '>= 1'),
            (('teams', 0, 'weight'), 1.5, '$.teams[0].weight', 'expected int'),
            (('teams', 0, 'tasks_per_s'), 0, '$.teams[0].tasks_per_s', '>= 1'),
            (('teams', 0), 'clerks', '$.teams[0]', 'expected an object, got str'),
            (('teams',), [], '$.teams', 'needs at least one'),
            (('services',), [], '$.services', 'needs at least one'),
            (('services',), _build_services(201), '$.services', 'the limit is 200'),
            (('teams',), _build_teams(401), '$.teams', 'the limit is 400'),
            (('teams',), {}, '$.teams', 'expected array'),
        ],
    )
    def test_single_fault_is_reported_with_its_path(
        self, path, content, fault_path, message
    ):
        faults = _find_faults(
            json.dumps(_replace_values(CONFIG, {path: content})).encode()
        )
        assert list(faults) == [fault_path]
        assert message in faults[fault_path]

    def test_all_faults_are_reported_at_once(self):
        config = _replace_values(
            CONFIG,
            {
                ('one',): 1,
                ('two',): 2,
                ('services', 0, 'colour'): 'red',
                ('services', 0, 'run_ms'): 'long',
                ('services', 0, 'memory_mb'): 64_000,
                ('services', 1, 'depends_on'): ['nobody', 'sweep'],
                ('services', 2): {'kind': 'job'},
                ('teams', 0, 'weight'): 0,
                ('teams', 1, 'token'): 'token-1',
            },
        )
        assert set(_find_faults(json.dumps(config).encode())) == {
            '$.one',
            '$.two',
            '$.services[0].colour',
            '$.services[0].run_ms',
            '$.services[0].memory_mb',
            '$.services[1].depends_on[0]',
            '$.services[1].depends_on[1]',
            '$.services[2].name',
            '$.teams[0].weight',
            '$.teams[1].token',
        }

    @pytest.mark.parametrize('name', ['a b', '\x1b[2J', '\ud800', 'é', 'x' * 9000])
    @pytest.mark.parametrize(
        'path',
        [
            ('services', 0, 'name'),
            ('services', 0, 'kind'),
            ('services', 1, 'depends_on', 0),
            ('teams', 0, 'token'),
        ],
    )
    def test_faults_are_safe_to_print(self, name, path):
        config = _replace_values(CONFIG, {path: name, (name,): name})
        with pytest.raises(ConfigInvalid) as caught:
            check_config(json.dumps(config).encode())
        assert '\x1b' not in caught.value.detail
        assert len(caught.value.detail.encode()) < 1000

    def test_largest_allowed_counts_are_accepted(self):
        config = {'services': _build_services(200), 'teams': _build_teams(400)}
        assert len(check_config(json.dumps(config).encode()).teams) == 400

    def test_error_has_the_kind_for_an_invalid_configuration(self):
        with pytest.raises(ConfigInvalid) as caught:
            check_config(b'[]')
        assert caught.value.kind is ErrorKind.CONFIG_INVALID
        assert '$: expected an object' in caught.value.detail


class TestLoadSettings:
    def test_defaults_fill_missing_settings(self, tmp_path):
        path = tmp_path / 'entry.json'
        path.write_text(json.dumps(ENTRY_SETTINGS))
        assert load_settings(path, EntrySettings).drain_timeout_s == 60

    @pytest.mark.parametrize(
        ('path', 'content', 'fault_path', 'message'),
        [
            (('nane',), 'entry-1', '$.nane', 'unknown field'),
            (('name',), '', '$.name', 'length >= 1'),
            (('listen', 'port'), 65_536, '$.listen.port', '<= 65535'),
            (('listen', 'prt'), 1, '$.listen.prt', 'unknown field'),
            (('seeds',), [{'host': 'x'}], '$.seeds[0].port', 'missing'),
            (('log_level',), 'LOUD', '$.log_level', 'invalid enum value'),
            (('drain_timeout_s',), 0, '$.drain_timeout_s', '>= 1'),
            (('allow_shaping',), 'yes', '$.allow_shaping', 'expected bool'),
        ],
    )
    def test_single_fault_is_reported_with_its_path(
        self, tmp_path, path, content, fault_path, message
    ):
        file = tmp_path / 'entry.json'
        file.write_text(json.dumps(_replace_values(ENTRY_SETTINGS, {path: content})))
        with pytest.raises(SettingsInvalid) as caught:
            load_settings(file, EntrySettings)
        (fault,) = caught.value.faults
        assert fault.path == fault_path
        assert message in fault.message

    def test_all_faults_are_reported_at_once(self, tmp_path):
        file = tmp_path / 'agent.json'
        file.write_text('{"a": 1, "b": 2, "name": "agent-1"}')
        with pytest.raises(SettingsInvalid) as caught:
            load_settings(file, AgentSettings)
        paths = [fault.path for fault in caught.value.faults]
        missing = ['$.data_centre', '$.rack', '$.listen', '$.table']
        assert paths == ['$.a', '$.b', *missing]

    @pytest.mark.parametrize(
        ('name', 'settings_type'),
        [('entry.json', EntrySettings), ('agent.json', AgentSettings)],
    )
    def test_example_files_are_valid(self, name, settings_type):
        assert load_settings(EXAMPLES / name, settings_type).data_centre == 'dc-1'

    def test_missing_file_is_reported(self, tmp_path):
        with pytest.raises(SettingsInvalid, match='cannot be read'):
            load_settings(tmp_path / 'none.json', EntrySettings)
