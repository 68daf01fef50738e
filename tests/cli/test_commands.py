"""Tests of the command line against an HTTP stand-in of an entry."""

import asyncio
import json
import pathlib
import threading

import pytest
from endivetally.cli import COMMANDS
from endivetally.cli import app
from endivetally_config.operator_config import decode_config
from endivetally_core.errors import ERROR_RESPONSES
from endivetally_core.errors import ErrorKind
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application
from tornado.web import RequestHandler
from typer.testing import CliRunner

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'
CONFIG = {
    'services': [{'name': 'lookup', 'kind': 'idempotent'}],
    'teams': [{'name': 'clerks', 'token': 'token-1'}],
}
CHANGE = {'version': 3, 'write_id': 'w', 'submitter': 'ann', 'changed_at_s': 0}
STATUS = {
    'name': 'entry-1',
    'incarnation': 'entry-1.00',
    'data_centre': 'dc-1',
    'state': 'open',
    'version': 3,
    'platform': True,
    'shards': 64,
    'entries': [],
    'services': [{'service': 'lookup', 'waiting': 1, 'running': 2}],
    'targets': [
        {
            'agent': 'agent-1',
            'service': 'lookup',
            'data_centre': 'dc-1',
            'rack': 'r1',
            'state': 'open',
            'running': 2,
            'slots': 8,
        },
    ],
}
BURN = {
    'entry': 'entry-1',
    'version': 3,
    'now_s': 1_000_000,
    'services': [
        {
            'service': 'lookup',
            'availability': 0.99,
            'response_ms': 1000,
            'buckets': [[999_990, 98, {'slow': 2}]],
        },
    ],
}


class FakeEntry:
    """Sends a fixed response for each path and records the requests."""

    def __init__(self):
        self.responses = {
            '/v1/text': (200, {'version': 3, 'text': CONFIG}),
            '/v1/text/history': (200, {'changes': [CHANGE]}),
            '/v1/status': (200, STATUS),
            '/v1/burn': (200, BURN),
        }
        self.requests = []
        self.address = ''

    def respond_with_error(self, path, kind, ran='not_run'):
        body = {'error': {'code': kind.value, 'detail': 'why', 'ran': ran}}
        self.responses[path] = (ERROR_RESPONSES[kind].status, body)

    def serve(self, started, stop):
        asyncio.run(self._serve(started, stop))

    async def _serve(self, started, stop):
        entry = self

        class Handler(RequestHandler):
            def prepare(self):
                entry.requests.append(self.request)
                status, body = entry.responses[self.request.path]
                self.set_status(status)
                self.finish(body if isinstance(body, str) else json.dumps(body))

        socket, port = bind_unused_port()
        self.address = f'127.0.0.1:{port}'
        server = HTTPServer(Application([('.*', Handler)]))
        server.add_socket(socket)
        started.set()
        await asyncio.to_thread(stop.wait)
        server.stop()


@pytest.fixture
def entry():
    fake = FakeEntry()
    started, stop = threading.Event(), threading.Event()
    thread = threading.Thread(target=fake.serve, args=(started, stop))
    thread.start()
    started.wait()
    yield fake
    stop.set()
    thread.join()


@pytest.fixture
def config_file(tmp_path):
    path = tmp_path / 'text.json'
    path.write_text(json.dumps(CONFIG))
    return path


def _run(*arguments, **environment):
    return CliRunner().invoke(app, [str(each) for each in arguments], env=environment)


def _submit(entry, path, *options):
    return _run(
        'config',
        'submit',
        path,
        '--entry',
        entry.address,
        '--based-on',
        3,
        '--submitter',
        'ann',
        *options,
        ENDIVETALLY_TOKEN='secret',
    )


class TestUsage:
    @pytest.mark.parametrize('command', [[], *([name] for name in COMMANDS)])
    def test_every_command_has_help(self, command):
        result = _run(*command, '--help')
        assert result.exit_code == 0
        assert 'Usage' in result.output

    @pytest.mark.parametrize(
        'arguments',
        [
            ['nothing'],
            ['status'],
            ['status', '--entry', 'nowhere'],
            ['config', 'check', 'no-such-file.json'],
            [
                'config',
                'show',
                '--entry',
                '127.0.0.1:1',
                '--token-file',
                'no-such-file',
            ],
        ],
    )
    def test_wrong_usage_exits_with_2(self, arguments):
        assert _run(*arguments).exit_code == 2


class TestConfigCheck:
    def test_valid_config_passes(self, config_file):
        result = _run('config', 'check', config_file)
        assert result.exit_code == 0
        assert '0 faults' in result.output

    def test_json_output_lists_the_path_of_each_fault(self, tmp_path):
        path = tmp_path / 'text.json'
        path.write_text('{"services": [], "teams": []}')
        result = _run('config', 'check', path, '--json')
        assert result.exit_code == 1
        printed = json.loads(result.output)
        assert [fault['path'] for fault in printed['faults']] == [
            '$.services',
            '$.teams',
        ]

    def test_example_config_is_valid(self):
        assert _run('config', 'check', EXAMPLES / 'text.json').exit_code == 0


class TestConfigSubmit:
    def test_submits_config_version_token_and_submitter(self, entry, config_file):
        entry.responses['/v1/text'] = (200, {'version': 4})
        result = _submit(entry, config_file)
        assert result.exit_code == 0
        assert 'version 4 is in force' in result.output
        (request,) = entry.requests
        assert request.method == 'PUT'
        assert request.query == 'based_on=3'
        assert request.headers['Authorization'] == 'Bearer secret'
        assert request.headers['X-Submitter'] == 'ann'
        assert decode_config(request.body).find_service('lookup')

    @pytest.mark.parametrize(
        ('kind', 'exit_code'),
        [
            (ErrorKind.CONFIG_CONFLICT, 4),
            (ErrorKind.CONFIG_INVALID, 1),
            (ErrorKind.UNAUTHORISED, 1),
            (ErrorKind.PLATFORM_UNAVAILABLE, 3),
            (ErrorKind.NOT_READY, 3),
        ],
    )
    def test_error_response_sets_exit_code_and_message(
        self, entry, config_file, kind, exit_code
    ):
        entry.respond_with_error('/v1/text', kind, 'unknown')
        result = _submit(entry, config_file)
        assert result.exit_code == exit_code
        assert f'{kind.value}: why (unknown)' in result.stderr

    def test_invalid_config_is_not_sent(self, entry, tmp_path):
        path = tmp_path / 'text.json'
        path.write_text('{}')
        result = _submit(entry, path)
        assert result.exit_code == 1
        assert '$.services: missing' in result.stderr
        assert not entry.requests

    def test_token_is_read_from_file(self, entry, config_file, tmp_path):
        entry.responses['/v1/text'] = (200, {'version': 4})
        token_file = tmp_path / 'token'
        token_file.write_text('from-file\n')
        _submit(entry, config_file, '--token-file', token_file)
        assert entry.requests[0].headers['Authorization'] == 'Bearer from-file'


class TestReadCommands:
    @pytest.mark.parametrize(
        ('command', 'printed'),
        [
            (['config', 'show'], '"lookup"'),
            (['config', 'history'], 'ann'),
            (['status'], 'agent-1'),
            (['report', 'burn'], 'slow'),
        ],
    )
    def test_terminal_output_shows_the_data(self, entry, command, printed):
        result = _run(*command, '--entry', entry.address)
        assert result.exit_code == 0
        assert printed in result.output

    @pytest.mark.parametrize(
        ('command', 'path', 'content'),
        [
            (['config', 'show'], ['version'], 3),
            (['config', 'history'], [0, 'submitter'], 'ann'),
            (['status'], ['targets', 0, 'slots'], 8),
            (['report', 'burn'], ['services', 0, 'windows', 0, 'burn_rate'], 2),
        ],
    )
    def test_json_output_holds_the_data(self, entry, command, path, content):
        result = _run(*command, '--json', '--entry', entry.address)
        printed = json.loads(result.output)
        for step in path:
            printed = printed[step]
        assert printed == content

    @pytest.mark.parametrize(
        'command',
        [['config', 'show'], ['config', 'history'], ['status'], ['report', 'burn']],
    )
    def test_unreachable_entry_exits_with_3(self, command):
        socket, port = bind_unused_port()
        socket.close()
        result = _run(*command, '--entry', f'127.0.0.1:{port}')
        assert result.exit_code == 3
        assert 'no valid answer' in result.stderr

    @pytest.mark.parametrize('response', [(200, 'text'), (502, '<html>'), (200, {})])
    def test_invalid_response_exits_as_unreachable(self, entry, response):
        entry.responses['/v1/status'] = response
        assert _run('status', '--entry', entry.address).exit_code == 3

    def test_shown_config_is_a_valid_submission(self, entry, tmp_path):
        shown = _run('config', 'show', '--entry', entry.address)
        path = tmp_path / 'text.json'
        path.write_text(shown.stdout)
        assert _run('config', 'check', path).exit_code == 0
        assert shown.stderr == 'version 3\n'


class TestReportBurn:
    def test_unreachable_peers_are_listed(self, entry):
        socket, port = bind_unused_port()
        socket.close()
        closed_address = f'127.0.0.1:{port}'
        entry.responses['/v1/status'] = (200, {**STATUS, 'entries': [closed_address]})
        result = _run('report', 'burn', '--json', '--entry', entry.address)
        assert result.exit_code == 0
        assert json.loads(result.output)['unreachable'] == [closed_address]

    def test_html_page_is_written(self, entry, tmp_path):
        page = tmp_path / 'burn.html'
        _run('report', 'burn', '--entry', entry.address, '--html', page)
        assert '<svg' in page.read_text()


class TestServe:
    @pytest.mark.parametrize('daemon', ['entry', 'agent'])
    def test_invalid_settings_exit_with_2(self, tmp_path, daemon):
        path = tmp_path / 'settings.json'
        path.write_text('{"nane": "x"}')
        result = _run('serve', daemon, '--settings', path)
        assert result.exit_code == 2
        assert '$.nane: unknown field' in result.stderr
