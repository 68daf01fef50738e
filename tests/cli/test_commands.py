"""Tests of the command line against a small HTTP stand-in of an entry."""

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
TEXT = {
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
    """Answers by path; keeps the requests that it got."""

    def __init__(self):
        self.answers = {
            '/v1/text': (200, {'version': 3, 'text': TEXT}),
            '/v1/text/history': (200, {'changes': [CHANGE]}),
            '/v1/status': (200, STATUS),
            '/v1/burn': (200, BURN),
        }
        self.requests = []
        self.address = ''

    def fail(self, path, kind, ran='not_run'):
        body = {'error': {'code': kind.value, 'detail': 'why', 'ran': ran}}
        self.answers[path] = (ERROR_RESPONSES[kind].status, body)

    def serve(self, started, stop):
        asyncio.run(self._serve(started, stop))

    async def _serve(self, started, stop):
        entry = self

        class Handler(RequestHandler):
            def prepare(self):
                entry.requests.append(self.request)
                status, body = entry.answers[self.request.path]
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
def text_file(tmp_path):
    path = tmp_path / 'text.json'
    path.write_text(json.dumps(TEXT))
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


class TestHelp:
    @pytest.mark.parametrize('command', [[], *([name] for name in COMMANDS)])
    def test_every_command(self, command):
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
    def test_wrong_usage(self, arguments):
        assert _run(*arguments).exit_code == 2


class TestCheck:
    def test_good(self, text_file):
        result = _run('config', 'check', text_file)
        assert result.exit_code == 0
        assert '0 faults' in result.output

    def test_faults_as_json(self, tmp_path):
        path = tmp_path / 'text.json'
        path.write_text('{"services": [], "teams": []}')
        result = _run('config', 'check', path, '--json')
        assert result.exit_code == 1
        printed = json.loads(result.output)
        assert [fault['path'] for fault in printed['faults']] == [
            '$.services',
            '$.teams',
        ]

    def test_example(self):
        assert _run('config', 'check', EXAMPLES / 'text.json').exit_code == 0


class TestSubmit:
    def test_accepted(self, entry, text_file):
        entry.answers['/v1/text'] = (200, {'version': 4})
        result = _submit(entry, text_file)
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
    def test_refused(self, entry, text_file, kind, exit_code):
        entry.fail('/v1/text', kind, 'unknown')
        result = _submit(entry, text_file)
        assert result.exit_code == exit_code
        assert f'{kind.value}: why (unknown)' in result.stderr

    def test_faulty_text_is_not_sent(self, entry, tmp_path):
        path = tmp_path / 'text.json'
        path.write_text('{}')
        result = _submit(entry, path)
        assert result.exit_code == 1
        assert '$.services: missing' in result.stderr
        assert not entry.requests

    def test_token_file(self, entry, text_file, tmp_path):
        entry.answers['/v1/text'] = (200, {'version': 4})
        token_file = tmp_path / 'token'
        token_file.write_text('from-file\n')
        _submit(entry, text_file, '--token-file', token_file)
        assert entry.requests[0].headers['Authorization'] == 'Bearer from-file'


class TestReading:
    @pytest.mark.parametrize(
        ('command', 'printed'),
        [
            (['config', 'show'], '"lookup"'),
            (['config', 'history'], 'ann'),
            (['status'], 'agent-1'),
            (['report', 'burn'], 'slow'),
        ],
    )
    def test_for_people(self, entry, command, printed):
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
    def test_for_scripts(self, entry, command, path, content):
        result = _run(*command, '--json', '--entry', entry.address)
        printed = json.loads(result.output)
        for step in path:
            printed = printed[step]
        assert printed == content

    @pytest.mark.parametrize(
        'command',
        [['config', 'show'], ['config', 'history'], ['status'], ['report', 'burn']],
    )
    def test_unreachable(self, command):
        socket, port = bind_unused_port()
        socket.close()
        result = _run(*command, '--entry', f'127.0.0.1:{port}')
        assert result.exit_code == 3
        assert 'no valid answer' in result.stderr

    @pytest.mark.parametrize('answer', [(200, 'text'), (502, '<html>'), (200, {})])
    def test_not_an_entry(self, entry, answer):
        entry.answers['/v1/status'] = answer
        assert _run('status', '--entry', entry.address).exit_code == 3

    def test_shown_text_can_be_submitted(self, entry, tmp_path):
        shown = _run('config', 'show', '--entry', entry.address)
        path = tmp_path / 'text.json'
        path.write_text(shown.stdout)
        assert _run('config', 'check', path).exit_code == 0
        assert shown.stderr == 'version 3\n'


class TestReportBurn:
    def test_other_entries_are_asked(self, entry):
        socket, port = bind_unused_port()
        socket.close()
        gone = f'127.0.0.1:{port}'
        entry.answers['/v1/status'] = (200, {**STATUS, 'entries': [gone]})
        result = _run('report', 'burn', '--json', '--entry', entry.address)
        assert result.exit_code == 0
        assert json.loads(result.output)['unreachable'] == [gone]

    def test_page(self, entry, tmp_path):
        page = tmp_path / 'burn.html'
        _run('report', 'burn', '--entry', entry.address, '--html', page)
        assert '<svg' in page.read_text()


class TestServe:
    @pytest.mark.parametrize('daemon', ['entry', 'agent'])
    def test_faulty_settings(self, tmp_path, daemon):
        path = tmp_path / 'settings.json'
        path.write_text('{"nane": "x"}')
        result = _run('serve', daemon, '--settings', path)
        assert result.exit_code == 2
        assert '$.nane: unknown field' in result.stderr
