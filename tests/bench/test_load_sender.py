"""Tests callers against a small HTTP server that replaces an entry."""

import time
from collections.abc import AsyncIterator

import pytest_asyncio
from endivetally.load.mix import Arrival
from endivetally.load.responses import Verdict
from endivetally.load.sender import Caller
from endivetally.load.sender import LoadPlan
from endivetally.load.sender import LoadRecord
from endivetally_config.operator_config import ServiceKind
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

ARRIVAL = Arrival(0, 'notes', ServiceKind.NON_IDEMPOTENT, 'n', [1])


class FakeEntry:
    """Closes the connections of the first requests and answers the later ones.

    :ivar drops: number of further requests whose connection is closed.
    :ivar keys: idempotency keys of all requests.
    """

    def __init__(self) -> None:
        self.drops = 0
        self.keys: list[str] = []
        self.url = ''


class FakeHandler(RequestHandler):
    """Handles the requests of a `FakeEntry`."""

    def initialize(self, entry: FakeEntry) -> None:
        self.entry = entry

    def post(self, _path: str) -> None:
        self.entry.keys.append(self.request.headers['Idempotency-Key'])
        if self.entry.drops:
            self.entry.drops -= 1
            self.detach().close()
            return
        self.write('{"echo": "n/0"}')


@pytest_asyncio.fixture
async def entry() -> AsyncIterator[FakeEntry]:
    fake = FakeEntry()
    application = Application([('/(.*)', FakeHandler, {'entry': fake})])
    server = HTTPServer(application)
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    fake.url = f'http://127.0.0.1:{sockets[0].getsockname()[1]}'
    yield fake
    server.stop()
    await server.close_all_connections()


async def send(entry: FakeEntry, *, start: float, patience_s: float) -> LoadRecord:
    plan = LoadPlan(start, [entry.url], 'token', patience_s, 1, [ARRIVAL])
    records = await Caller(plan).run()
    return records[0]


async def test_a_complete_response_needs_one_submission(entry: FakeEntry) -> None:
    record = await send(entry, start=time.monotonic(), patience_s=30)
    assert (record.verdict, record.submissions) == (Verdict.COMPLETE, 1)


async def test_a_lost_connection_is_retried_with_the_same_key(entry: FakeEntry) -> None:
    entry.drops = 2
    record = await send(entry, start=time.monotonic(), patience_s=30)
    assert (record.verdict, record.submissions) == (Verdict.COMPLETE, 3)
    assert entry.keys == ['n', 'n', 'n']


async def test_a_request_without_response_is_lost(entry: FakeEntry) -> None:
    entry.drops = 1_000_000
    record = await send(entry, start=time.monotonic(), patience_s=0.5)
    assert record.verdict is Verdict.LOST


async def test_response_time_counts_from_when_the_request_was_due(
    entry: FakeEntry,
) -> None:
    record = await send(entry, start=time.monotonic() - 5, patience_s=30)
    assert record.response_ms >= 5000
    assert record.late_ms >= 5000
