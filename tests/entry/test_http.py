"""Tests of the HTTP API of a running entry: invalid input, teams and tokens."""

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
from entry.builders import AGENT
from entry.builders import RecordingLink
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
    """An entry that uses a table in memory."""

    def _create_infrastructure(self):
        super()._create_infrastructure()
        self.table.close()
        self.table = MemoryTable()


class EchoLink(RecordingLink):
    """Reports each dispatched task as done, with its payload as the result."""

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
            loop.call_soon(self._dispatcher.handle_outcome, AGENT.incarnation, outcome)

    @property
    def payloads(self):
        return [
            posted.payload for posted in self.posted if isinstance(posted, Dispatch)
        ]


class RunningEntry:
    """A running entry with one agent, and a client of its HTTP API."""

    async def __aenter__(self):
        settings = EntrySettings(
            'entry-1', 'dc-1', ADDRESS, ADDRESS, 'secret', max_body_bytes=MAX_BODY
        )
        self.entry = MemoryEntry(settings)
        await self.entry.active_config.submit(
            self.entry.table, encode_config(TEXT), 0, 'ann'
        )
        self._run_task = asyncio.create_task(Lifecycle(self.entry).run())
        await asyncio.sleep(0.05)
        now = asyncio.get_running_loop().time()
        self.link = EchoLink(self.entry.dispatcher)
        self.entry.agent_registry.register_link(AGENT, self.link)
        scheduler = self.entry.scheduler
        scheduler.add_agent(AGENT, now)
        scheduler.update_agent(AGENT.incarnation, 'open', 0, now)
        scheduler.admit_agents(frozenset({AGENT.incarnation}))
        self.entry.dispatcher.add_credits(AGENT.incarnation, 8)
        await self.entry.wait_until_open(10)
        return self

    async def __aexit__(self, *_exception):
        self.entry.cancel_tasks()
        self.entry.server.stop()
        self._run_task.cancel()
        await asyncio.wait([self._run_task])

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
        decoded = json.loads(response.body)
        error = decoded.get('error', {}) if isinstance(decoded, dict) else {}
        return response.code, error.get('code', ''), error.get('ran', '')


@pytest.fixture
async def running_entry():
    async with RunningEntry() as running:
        yield running


def _job_body(count):
    return json.dumps({'tasks': [1] * count}).encode()


SWEEPS = '/v1/services/sweeps/jobs'
LOOKUPS = '/v1/services/lookups/requests'
KEY = {'Idempotency_Key': 'k'}
INVALID_CALLS = {
    'not JSON': (SWEEPS, b'tasks?', KEY, 400, 'malformed_request'),
    'nested': (SWEEPS, b'{"tasks":' + b'[' * 2000, KEY, 400, 'malformed_request'),
    'unknown field': (SWEEPS, b'{"tasks":[1],"x":1}', KEY, 400, 'malformed_request'),
    'no task': (SWEEPS, _job_body(0), KEY, 422, 'job_size'),
    '1,801 tasks': (SWEEPS, _job_body(1801), KEY, 422, 'job_size'),
    'body too large': (LOOKUPS, b'x' * (MAX_BODY + 1), {}, 413, 'body_too_large'),
    'body far too large': (LOOKUPS, b'x' * 1_500_000, {}, 413, 'body_too_large'),
    'missing key': (SWEEPS, _job_body(1), {}, 400, 'missing_key'),
    'long key': (
        SWEEPS,
        _job_body(1),
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
    'key in the path': (f'{SWEEPS}/k', _job_body(1), {}, 400, 'malformed_request'),
    'malformed path': ('/v1/services/%ff/jobs', b'1', KEY, 400, 'malformed_request'),
}


class TestInvalidCalls:
    @pytest.mark.parametrize('name', INVALID_CALLS)
    async def test_an_invalid_call_gets_its_error_and_starts_no_task(
        self, running_entry, name
    ):
        path, body, headers, status, code = INVALID_CALLS[name]
        assert await running_entry.call(path, body, **headers) == (
            status,
            code,
            'not_run',
        )
        assert running_entry.link.payloads == []
        assert (await running_entry.call(LOOKUPS, b'2'))[0] == 200
        assert running_entry.link.payloads == [b'2']

    async def test_a_cancellation_without_a_key_is_malformed(self, running_entry):
        result = await running_entry.call(SWEEPS, method='DELETE', **KEY)
        assert result == (400, 'malformed_request', 'not_run')


class TestKeys:
    async def test_a_key_with_another_body_conflicts(self, running_entry):
        assert (await running_entry.call(SWEEPS, _job_body(2), **KEY))[0] == 200
        result = await running_entry.call(SWEEPS, _job_body(3), **KEY)
        assert result[:2] == (409, 'key_conflict')
        assert (await running_entry.call(SWEEPS, _job_body(2), **KEY))[0] == 200
        assert len(running_entry.link.payloads) == 2

    async def test_teams_do_not_share_keys(self, running_entry):
        other = {'Authorization': 'Bearer token-b', **KEY}
        assert (await running_entry.call(SWEEPS, b'{"tasks":[7]}', **KEY))[0] == 200
        unknown = await running_entry.call(f'{SWEEPS}/k', method='DELETE', **other)
        assert unknown == (404, 'unknown_job', 'unknown')
        assert (await running_entry.call(SWEEPS, b'{"tasks":[8]}', **other))[0] == 200
        assert running_entry.link.payloads == [b'7', b'8']


class TestOperatorCalls:
    @pytest.mark.parametrize('token', ['', 'x', 'secre', 'secret2', 'token-a', 'é'])
    async def test_a_wrong_operator_token_is_rejected(self, running_entry, token):
        headers = {'Authorization': f'Bearer {token}'}
        for path in ('/v1/text', '/v1/status', '/v1/burn', '/v1/text/history'):
            result = await running_entry.call(path, method='GET', **headers)
            assert result[:2] == (401, 'unauthorised')

    @pytest.mark.parametrize('query', ['', '?based_on=x'])
    async def test_a_configuration_without_a_base_version_is_rejected(
        self, running_entry, query
    ):
        headers = {'Authorization': 'Bearer secret'}
        result = await running_entry.call(f'/v1/text{query}', method='PUT', **headers)
        assert result[:2] == (400, 'malformed_request')


class TestJoin:
    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{}',
            b'[]',
            b'{"agent": {"name": "a"}}',
            b'{"entry": 1}',
            b'[' * 200_000,
        ],
    )
    async def test_a_join_request_without_an_identity_is_rejected(
        self, running_entry, body
    ):
        result = await running_entry.call('/internal/join', body)
        assert result[:2] == (400, 'malformed_request')
