"""The HTTP face for callers: routes, refusals, answers."""

import asyncio
import json

import pytest
from adapter.servers import serve
from endivetally_config.text import VersionedText
from endivetally_core.events import EventLog
from endivetally_core.metrics import Metrics
from endivetally_held.entry import HeldEntry
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_held.metrics import EntryMetrics
from endivetally_platform.configuration import Routes
from endivetally_platform.configuration import decode_configuration
from endivetally_platform.entry_api import EntryFacade
from endivetally_platform.entry_api import callers_application
from endivetally_platform.entry_api import readiness_application
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
    """A process whose entry gives a prepared answer."""

    def __init__(self, answer=None):
        self.events = EventLog('test', 'test', write=lambda lines: None)
        self.entry = HeldEntry('test', 'dc', self.events, EntryMetrics(Metrics(), 'dc'))
        self.routes = Routes()
        self.jobs = []
        self.stopped = False
        self.cancelled = False
        if answer is not None:
            self.entry.submit = self._submit
        self.answer = answer

    @property
    def leaving(self):
        return self.stopped

    def configure(self):
        text, self.routes = decode_configuration(CONFIGURATION)
        self.entry.apply_config(text)

    async def _submit(self, job):
        self.jobs.append(job)
        if self.answer == 'wait':
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                self.cancelled = True
                raise
        return self.answer


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
    ('answer', 'status', 'state'),
    [
        (JobResponse(JobResult.COMPLETED), 200, 'completed'),
        (JobResponse(JobResult.FAILED, 'attempts_used'), 200, 'failed'),
        (JobResponse(JobResult.REFUSED, 'overloaded', 3), 503, None),
        (JobResponse(JobResult.UNKNOWN, 'lost'), 502, None),
        (JobResponse(JobResult.EXPIRED, 'deadline'), 504, None),
    ],
)
async def test_answers(answer, status, state):
    facade = Facade(answer)
    facade.configure()
    async with serve(callers_application(facade)) as address:
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
async def test_what_is_not_run(path, method, body, status):
    facade = Facade(JobResponse(JobResult.COMPLETED))
    facade.configure()
    async with serve(callers_application(facade)) as address:
        response = await fetch(address, path, method, body)
    assert response.code == status
    assert facade.jobs == []


async def test_without_a_configuration_jobs_are_refused():
    facade = Facade()
    async with serve(callers_application(facade)) as address:
        response = await fetch(address, '/lohu930/5c0e')
    assert response.code == 503
    assert int(response.headers['Retry-After']) > 0


async def test_longest_prefix_is_taken():
    facade = Facade(JobResponse(JobResult.COMPLETED))
    facade.configure()
    async with serve(callers_application(facade)) as address:
        await fetch(address, '/lohu930/deeper/5c0e')
    assert facade.jobs[0].service == 'r-2'


async def test_readiness_follows_the_entry():
    facade = Facade()
    async with serve(readiness_application(facade)) as address:
        response = await fetch(address, '/v1/ready', 'GET')
    assert response.code == 503
    assert json.loads(response.body) == {'reason': 'no_text'}


async def test_caller_that_leaves_abandons_its_job():
    facade = Facade('wait')
    facade.configure()
    async with serve(callers_application(facade)) as address:
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
        while not facade.cancelled:
            await asyncio.sleep(0.01)


async def test_cancelled_handler_sends_no_answer():
    facade = Facade('wait')
    facade.configure()
    async with serve(callers_application(facade)) as address:
        fetching = asyncio.ensure_future(fetch(address, '/lohu930/5c0e'))
        while not facade.jobs:
            await asyncio.sleep(0.01)
        for task in asyncio.all_tasks():
            if '_submit' in repr(task.get_coro()):
                task.cancel()
        with pytest.raises(HTTPStreamClosedError):
            await fetching


def test_older_configuration_is_not_put_in_force():
    facade = Facade()
    facade.configure()
    assert (
        facade.entry.apply_config(VersionedText(6, facade.entry.config.text)) is False
    )
    assert facade.entry.config.version == 7
