"""Tests of the HTTP APIs of an entry: routes, refusals, responses and readiness."""

import asyncio
import json

import pytest
from adapter.servers import serve
from endivetally_config.operator_config import VersionedConfig
from endivetally_core.events import EventLog
from endivetally_core.metrics import Metrics
from endivetally_held.entry import HeldEntry
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_held.metrics import EntryMetrics
from endivetally_platform.configuration import RoutingTable
from endivetally_platform.configuration import decode_configuration
from endivetally_platform.entry_api import EntryFacade
from endivetally_platform.entry_api import create_caller_application
from endivetally_platform.entry_api import create_readiness_application
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

ROUTE = {
    'name': 'r-1',
    'host': 'nony24.example',
    'pathPrefix': '/lohu930/',
    'kind': 'unsafe',
    'timeoutMs': 1500,
    'targetLatencyMs': 60,
    'priority': 0,
    'service': 'pool',
    'maxAttempts': 4,
    'stretch': 1.6,
}
CONFIGURATION = json.dumps(
    {
        'version': 7,
        'routes': [
            ROUTE,
            {**ROUTE, 'name': 'r-2', 'pathPrefix': '/lohu930/deeper/'},
        ],
        'services': [],
    }
).encode()
STEP = {'count': 2, 'cpu': 1600, 'memMb': 64, 'estimateMs': 100}
JOB = {'spec': 's', 'bestEffort': True, 'steps': [STEP]}


class Facade(EntryFacade):
    """A process whose entry gives a prepared response to every job.

    :param job_response: with ``'wait'``, jobs run until they are cancelled.
    """

    def __init__(self, job_response=None):
        self.events = EventLog('test', 'test', write=lambda lines: None)
        self.entry = HeldEntry('test', 'dc', self.events, EntryMetrics(Metrics(), 'dc'))
        self.routing_table = RoutingTable()
        self.jobs = []
        self.stop_requested = False
        self.job_cancelled = False
        if job_response is not None:
            self.entry.submit = self._submit_job
        self.job_response = job_response

    @property
    def shutting_down(self):
        return self.stop_requested

    def apply_configuration(self):
        config, self.routing_table = decode_configuration(CONFIGURATION)
        self.entry.apply_config(config)

    async def _submit_job(self, job):
        self.jobs.append(job)
        if self.job_response == 'wait':
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.job_cancelled = True
                raise
        return self.job_response


async def fetch(address, path, method='POST', body=None, **headers):
    client = SimpleAsyncHTTPClient(force_instance=True)
    request = HTTPRequest(
        f'http://{address}{path}',
        method=method,
        headers={'Host': 'nony24.example', **headers},
        body=json.dumps(JOB).encode() if body is None and method == 'POST' else body,
    )
    try:
        return await client.fetch(request, raise_error=False)
    finally:
        client.close()


@pytest.mark.parametrize(
    ('job_response', 'status', 'state'),
    [
        (JobResponse(JobResult.COMPLETED), 200, 'completed'),
        (JobResponse(JobResult.FAILED, 'attempts_used'), 200, 'failed'),
        (JobResponse(JobResult.REFUSED, 'overloaded', 3), 503, None),
        (JobResponse(JobResult.UNKNOWN, 'lost'), 502, None),
        (JobResponse(JobResult.EXPIRED, 'deadline'), 504, None),
    ],
)
async def test_result_of_a_job_becomes_an_http_response(job_response, status, state):
    facade = Facade(job_response)
    facade.apply_configuration()
    async with serve(create_caller_application(facade)) as address:
        response = await fetch(address, '/lohu930/5c0e', **{'X-Deadline-Ms': '2500'})
    assert response.code == status
    assert json.loads(response.body).get('state') == state
    assert response.headers.get('Retry-After') == ('3' if status == 503 else None)
    assert facade.jobs[0].service == 'r-1'
    assert facade.jobs[0].timeout_s == pytest.approx(2.5)


@pytest.mark.parametrize(
    ('path', 'method', 'body', 'status'),
    [
        ('/elsewhere/5c0e', 'POST', None, 404),
        ('/lohu930/5c0e', 'POST', b'{', 400),
        ('/lohu930/5c0e', 'POST', b'[' * 200_000, 400),
        ('/lohu930/', 'POST', None, 400),
        ('/lohu930/5c0e', 'POST', json.dumps({**JOB, 'steps': []}).encode(), 400),
        (
            '/lohu930/5c0e',
            'POST',
            json.dumps({**JOB, 'steps': [{**STEP, 'after': [0]}]}).encode(),
            400,
        ),
        (
            '/lohu930/5c0e',
            'POST',
            json.dumps({**JOB, 'bestEffort': False}).encode(),
            503,
        ),
        (
            '/lohu930/5c0e',
            'POST',
            json.dumps({**JOB, 'steps': [{**STEP, 'gang': True}]}).encode(),
            503,
        ),
        ('/lohu930/5c0e', 'GET', None, 410),
        ('/lohu930/5c0e', 'DELETE', None, 410),
        ('/lohu930/', 'GET', None, 200),
        ('/elsewhere/', 'GET', None, 404),
    ],
)
async def test_request_gets_a_status_and_runs_no_job(path, method, body, status):
    facade = Facade(JobResponse(JobResult.COMPLETED))
    facade.apply_configuration()
    async with serve(create_caller_application(facade)) as address:
        response = await fetch(address, path, method, body)
    assert response.code == status
    assert facade.jobs == []


async def test_jobs_are_refused_before_a_configuration_is_applied():
    facade = Facade()
    async with serve(create_caller_application(facade)) as address:
        response = await fetch(address, '/lohu930/5c0e')
    assert response.code == 503
    assert int(response.headers['Retry-After']) > 0


async def test_route_with_the_longest_prefix_is_used():
    facade = Facade(JobResponse(JobResult.COMPLETED))
    facade.apply_configuration()
    async with serve(create_caller_application(facade)) as address:
        await fetch(address, '/lohu930/deeper/5c0e')
    assert facade.jobs[0].service == 'r-2'


async def test_entry_without_a_configuration_is_not_ready():
    facade = Facade()
    async with serve(create_readiness_application(facade)) as address:
        response = await fetch(address, '/v1/ready', 'GET')
    assert response.code == 503
    body = json.loads(response.body)
    assert body.pop('since_s') >= 0
    assert body == {'reason': 'no_text'}


async def test_job_is_cancelled_when_its_caller_disconnects():
    facade = Facade('wait')
    facade.apply_configuration()
    async with serve(create_caller_application(facade)) as address:
        host, _, port = address.partition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        body = json.dumps(JOB)
        writer.write(
            f'POST /lohu930/5c0e HTTP/1.1\r\nHost: nony24.example\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
        )
        while not facade.jobs:
            await asyncio.sleep(0.01)
        writer.close()
        while not facade.job_cancelled:
            await asyncio.sleep(0.01)


async def test_cancelled_job_closes_the_connection_without_a_response():
    facade = Facade('wait')
    facade.apply_configuration()
    async with serve(create_caller_application(facade)) as address:
        fetch_task = asyncio.ensure_future(fetch(address, '/lohu930/5c0e'))
        while not facade.jobs:
            await asyncio.sleep(0.01)
        for task in asyncio.all_tasks():
            if '_submit_job' in repr(task.get_coro()):
                task.cancel()
        with pytest.raises(HTTPStreamClosedError):
            await fetch_task


def test_older_configuration_is_not_applied():
    facade = Facade()
    facade.apply_configuration()
    assert (
        facade.entry.apply_config(VersionedConfig(6, facade.entry.config.config))
        is False
    )
    assert facade.entry.config.version == 7
