"""Tests of the HTTP surface of a real entry: bad input, teams, tokens."""

import asyncio
import json

import pytest
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_config.operator_config import Team
from endivetally_config.operator_config import encode_config
from endivetally_config.settings import EntrySettings
from endivetally_core.joining import Address
from endivetally_core.messages import Dispatch
from endivetally_core.messages import Outcome
from endivetally_entry import Entry
from endivetally_entry import Lifecycle
from endivetally_table.memory import MemoryTable
from entry.parts import AGENT
from entry.parts import KeptLink
from tornado.httpclient import AsyncHTTPClient

ADDRESS = Address('127.0.0.1', 0)
TEXT = OperatorConfig(
    (
        Service('sweeps', ServiceKind.JOB, pool='sweeps'),
        Service('fetches', ServiceKind.NON_IDEMPOTENT, pool='sweeps'),
        Service('lookups', ServiceKind.IDEMPOTENT, pool='sweeps'),
    ),
    (Team('clerks', 'token-a'), Team('students', 'token-b')),
)
MAX_BODY = 100_000


class MemoryEntry(Entry):
    """An entry whose table is in this process."""

    def _create_infrastructure(self):
        super()._create_infrastructure()
        self.table.close()
        self.table = MemoryTable()


class AnsweringLink(KeptLink):
    """Ends each task at once, with its payload as the answer."""

    def __init__(self, dispatcher):
        super().__init__()
        self._dispatcher = dispatcher

    def post(self, message):
        super().post(message)
        if isinstance(message, Dispatch):
            outcome = Outcome(
                message.attempt_id, 'done', body=message.payload, credits=1
            )
            loop = asyncio.get_running_loop()
            loop.call_soon(
                self._dispatcher.outcome_received, AGENT.incarnation, outcome
            )

    @property
    def payloads(self):
        return [each.payload for each in self.posted if isinstance(each, Dispatch)]


class Surface:
    """A running entry with one agent."""

    async def __aenter__(self):
        settings = EntrySettings(
            'entry-1', 'dc-1', ADDRESS, ADDRESS, 'secret', max_body_bytes=MAX_BODY
        )
        self.entry = MemoryEntry(settings)
        await self.entry.keeper.submit(self.entry.table, encode_config(TEXT), 0, 'ann')
        self._running = asyncio.create_task(Lifecycle(self.entry).run())
        await asyncio.sleep(0.05)
        now = asyncio.get_running_loop().time()
        self.link = AnsweringLink(self.entry.dispatcher)
        self.entry.roster.link_opened(AGENT, self.link)
        scheduler = self.entry.scheduler
        scheduler.add_agent(AGENT, now)
        scheduler.update_agent(AGENT.incarnation, 'open', 0, now)
        scheduler.admit_agents(frozenset({AGENT.incarnation}))
        self.entry.dispatcher.credits_granted(AGENT.incarnation, 8)
        await self.entry.wait_until_open(10)
        return self

    async def __aexit__(self, *_exception):
        self.entry.cancel_tasks()
        self.entry.server.stop()
        self._running.cancel()
        await asyncio.wait([self._running])

    async def call(self, path, body=b'1', method='POST', **headers):
        headers = {name.replace('_', '-'): text for name, text in headers.items()}
        headers.setdefault('Authorization', 'Bearer token-a')
        response = await AsyncHTTPClient().fetch(
            f'http://{self.entry.identity.address}{path}',
            method=method,
            body=body if method in {'POST', 'PUT'} else None,
            headers=headers,
            raise_error=False,
        )
        answer = json.loads(response.body)
        error = answer.get('error', {}) if isinstance(answer, dict) else {}
        return response.code, error.get('code', ''), error.get('ran', '')


@pytest.fixture
async def surface():
    async with Surface() as running:
        yield running


def _tasks(count):
    return json.dumps({'tasks': [1] * count}).encode()


SWEEPS = '/v1/services/sweeps/jobs'
LOOKUPS = '/v1/services/lookups/requests'
KEY = {'Idempotency_Key': 'k'}
BAD_CALLS = {
    'not JSON': (SWEEPS, b'tasks?', KEY, 400, 'malformed_request'),
    'unknown field': (SWEEPS, b'{"tasks":[1],"x":1}', KEY, 400, 'malformed_request'),
    'no task': (SWEEPS, _tasks(0), KEY, 422, 'job_size'),
    '1,801 tasks': (SWEEPS, _tasks(1801), KEY, 422, 'job_size'),
    'body too large': (LOOKUPS, b'x' * (MAX_BODY + 1), {}, 413, 'body_too_large'),
    'missing key': (SWEEPS, _tasks(1), {}, 400, 'missing_key'),
    'long key': (
        SWEEPS,
        _tasks(1),
        {'Idempotency_Key': 'k' * 129},
        400,
        'malformed_request',
    ),
    'past deadline': (LOOKUPS, b'1', {'X_Deadline_Ms': '-1'}, 422, 'deadline_passed'),
    'no deadline': (LOOKUPS, b'1', {'X_Deadline_Ms': 'soon'}, 400, 'malformed_request'),
    'unknown service': ('/v1/services/x/jobs', b'1', KEY, 404, 'unknown_service'),
    'wrong token': (LOOKUPS, b'1', {'Authorization': 'Bearer x'}, 401, 'unauthorised'),
    'job as request': (
        '/v1/services/sweeps/requests',
        b'1',
        KEY,
        400,
        'malformed_request',
    ),
    'key in the path': (f'{SWEEPS}/k', _tasks(1), {}, 400, 'malformed_request'),
    'malformed path': ('/v1/services/%ff/jobs', b'1', KEY, 400, 'malformed_request'),
}


class TestBadCalls:
    @pytest.mark.parametrize('name', BAD_CALLS)
    async def test_clear_error_and_nothing_started(self, surface, name):
        path, body, headers, status, code = BAD_CALLS[name]
        assert await surface.call(path, body, **headers) == (status, code, 'not_run')
        assert surface.link.payloads == []
        assert (await surface.call(LOOKUPS, b'2'))[0] == 200
        assert surface.link.payloads == [b'2']

    async def test_cancel_without_a_key(self, surface):
        answer = await surface.call(SWEEPS, method='DELETE', **KEY)
        assert answer == (400, 'malformed_request', 'not_run')


class TestKeys:
    async def test_a_key_with_another_body_conflicts(self, surface):
        assert (await surface.call(SWEEPS, _tasks(2), **KEY))[0] == 200
        answer = await surface.call(SWEEPS, _tasks(3), **KEY)
        assert answer[:2] == (409, 'key_conflict')
        assert (await surface.call(SWEEPS, _tasks(2), **KEY))[0] == 200
        assert len(surface.link.payloads) == 2

    async def test_teams_do_not_share_keys(self, surface):
        other = {'Authorization': 'Bearer token-b', **KEY}
        assert (await surface.call(SWEEPS, b'{"tasks":[7]}', **KEY))[0] == 200
        unknown = await surface.call(f'{SWEEPS}/k', method='DELETE', **other)
        assert unknown[:2] == (404, 'unknown_job')
        assert (await surface.call(SWEEPS, b'{"tasks":[8]}', **other))[0] == 200
        assert surface.link.payloads == [b'7', b'8']


class TestOperators:
    @pytest.mark.parametrize('token', ['', 'x', 'secre', 'secret2', 'token-a', 'é'])
    async def test_wrong_token(self, surface, token):
        headers = {'Authorization': f'Bearer {token}'}
        for path in ('/v1/text', '/v1/status', '/v1/burn', '/v1/text/history'):
            answer = await surface.call(path, method='GET', **headers)
            assert answer[:2] == (401, 'unauthorised')

    @pytest.mark.parametrize('query', ['', '?based_on=x'])
    async def test_text_without_a_version(self, surface, query):
        headers = {'Authorization': 'Bearer secret'}
        answer = await surface.call(f'/v1/text{query}', method='PUT', **headers)
        assert answer[:2] == (400, 'malformed_request')


class TestJoin:
    @pytest.mark.parametrize(
        'body', [b'', b'{}', b'[]', b'{"agent": {"name": "a"}}', b'{"entry": 1}']
    )
    async def test_an_introduction_that_names_nobody(self, surface, body):
        answer = await surface.call('/internal/join', body)
        assert answer[:2] == (400, 'malformed_request')
