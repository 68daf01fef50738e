"""Clients that send or read too slowly lose their connection."""

import asyncio

import pytest
from endivetally_http import server as server_module
from endivetally_policy.clients import incomplete
from http_server.servers import serve


@pytest.fixture(autouse=True)
def short_limits(monkeypatch):
    """Shorten the times that clients have."""
    monkeypatch.setattr(server_module, 'SLOW_CHECK_S', 0.05)
    monkeypatch.setattr(server_module, 'UNREAD_S', 0.2)
    monkeypatch.setattr(incomplete, 'ARRIVAL_S', 0.2)


@pytest.mark.parametrize(
    'part',
    [
        b'P',
        b'POST / HTTP/1.1\r\nHost: test\r\n',
        b'POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nabc',
        b'POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na',
    ],
    ids=['byte', 'headers', 'body', 'chunk'],
)
async def test_request_that_does_not_arrive_is_refused(part):
    async with serve() as server:
        connection = await server.connect()
        connection.writer.write(part)
        status, _, content = await connection.read_response()
        assert (status, content) == (408, {'error': 'too_slow', 'ran': 'not_run'})
        assert server.requests == []


async def test_connection_whose_response_is_not_read_is_closed():
    async with serve() as server:
        connection = await server.connect()
        connection.writer.write(b'GET / HTTP/1.1\r\nHost: test\r\n\r\n' * 1000)
        while not server.log.counts['test', 'unread_response']:
            await asyncio.sleep(0.05)
        assert len(server.requests) < 1000


async def test_connection_between_two_requests_is_kept():
    async with serve() as server:
        connection = await server.connect()
        for _ in range(2):
            status, _, _ = await connection.call()
            assert status == 200
            await asyncio.sleep(0.5)
