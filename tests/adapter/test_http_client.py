"""Tests of the HTTP client: connection reuse, incomplete and missing responses."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from endivetally_platform.http_client import MAX_CONNECTIONS
from endivetally_platform.http_client import HttpClient
from endivetally_platform.http_client import NoResponse

COMPLETE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
CLOSING = b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok'
INCOMPLETE = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
MALFORMED = b'\x00\xff\r\n\r\n'


class Server:
    """Sends the prepared responses in turn, then complete ones.

    :param responses: for ``None``, the request gets no response.
    """

    def __init__(self, responses):
        self.responses = list(responses)
        self.requests = []
        self.connections = 0
        self.writers = []

    async def handle_connection(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(head.lower().split(b'content-length: ')[1].split(b'\r')[0])
                self.requests.append((head, await reader.readexactly(length)))
                response = self.responses.pop(0) if self.responses else COMPLETE
                if response is None:
                    await reader.read()
                    return
                writer.write(response)
                if response in {INCOMPLETE, CLOSING}:
                    return
        except asyncio.IncompleteReadError:
            # The client has closed the connection.
            return
        finally:
            writer.close()


@asynccontextmanager
async def serve_responses(*responses):
    """Yield a server with prepared responses, and a client for it."""
    server = Server(responses)
    listener = await asyncio.start_server(server.handle_connection, '127.0.0.1', 0)
    client = HttpClient(f'127.0.0.1:{listener.sockets[0].getsockname()[1]}')
    try:
        yield server, client
    finally:
        await client.close()
        listener.close()
        for writer in server.writers:
            writer.close()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('prepared', [COMPLETE, CHUNKED])
async def test_connection_is_reused_after_a_complete_response(prepared):
    async with serve_responses(prepared, prepared) as (server, client):
        for _ in range(2):
            response = await client.request('POST', '/path', timeout_s=5, body=b'{}')
            assert (response.status, response.body) == (200, b'ok')
        assert server.connections == 1
        head, body = server.requests[0]
        assert head.startswith(b'POST /path HTTP/1.1\r\n')
        assert body == b'{}'


@pytest.mark.parametrize(
    'head', [b'Content-Length: 99999999', b'Transfer-Encoding: chunked'], ids=str
)
async def test_response_over_the_limit_is_abandoned(head):
    chunk = b'100000\r\n%b\r\n' % (b'x' * 2**20)
    large = b'HTTP/1.1 200 OK\r\n%b\r\n\r\n%b' % (head, chunk * 17)
    async with serve_responses(large) as (server, client):
        with pytest.raises(NoResponse, match='over 16777216 bytes'):
            await client.request('GET', '/path', timeout_s=5)
        response = await client.request('GET', '/path', timeout_s=5)
        assert (response.status, server.connections) == (200, 2)


async def test_query_and_headers_are_sent():
    async with serve_responses() as (server, client):
        query = {'from': 'a b', 'to': '\U0010ffff'}
        headers = {'Host': 'name.example', 'X-Expect-Instance': 'i-1'}
        await client.request(
            'GET', '/v1/rows', timeout_s=5, query=query, headers=headers
        )
        head = server.requests[0][0].decode()
        assert head.startswith('GET /v1/rows?from=a+b&to=%F4%8F%BF%BF HTTP/1.1')
        assert 'Host: name.example\r\n' in head
        assert 'X-Expect-Instance: i-1\r\n' in head


@pytest.mark.parametrize('prepared', [INCOMPLETE, MALFORMED, None])
async def test_incomplete_response_is_an_error_and_ends_the_connection(prepared):
    async with serve_responses(prepared) as (server, client):
        with pytest.raises(NoResponse):
            await client.request('GET', '/', timeout_s=0.2)
        assert (await client.request('GET', '/', timeout_s=5)).status == 200
        assert server.connections == 2


async def test_connection_that_the_server_closes_is_not_reused():
    async with serve_responses(CLOSING, COMPLETE) as (server, client):
        for _ in range(2):
            assert (await client.request('GET', '/', timeout_s=5)).body == b'ok'
        server.writers[-1].close()
        await asyncio.sleep(0.05)
        assert (await client.request('GET', '/', timeout_s=5)).body == b'ok'
        assert server.connections == 3


async def test_unreachable_server_raises_no_response():
    client = HttpClient('127.0.0.1:9')
    with pytest.raises(NoResponse):
        await client.request('GET', '/', timeout_s=5)
    await client.close()


async def test_connection_of_a_cancelled_request_is_not_reused():
    async with serve_responses(None) as (server, client):
        request_task = asyncio.ensure_future(client.request('GET', '/', timeout_s=5))
        while not server.requests:
            await asyncio.sleep(0.01)
        request_task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await request_task
        assert (await client.request('GET', '/', timeout_s=5)).body == b'ok'
        assert server.connections == 2


async def test_number_of_connections_is_limited():
    async with serve_responses() as (server, client):
        requests = [
            client.request('GET', '/', timeout_s=5) for _ in range(MAX_CONNECTIONS * 4)
        ]
        responses = await asyncio.gather(*requests)
        assert {response.body for response in responses} == {b'ok'}
        assert server.connections <= MAX_CONNECTIONS


class SlowBody:
    """Sends the body of a response in parts, with a delay before each.

    :param size: size of the body that the header announces.
    """

    def __init__(self, parts, delay_s, size):
        self.parts = parts
        self.delay_s = delay_s
        self.size = size

    async def handle_connection(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % self.size)
        for part in self.parts:
            await asyncio.sleep(self.delay_s)
            writer.write(part)
        await reader.read()
        writer.close()


@pytest.mark.parametrize(
    ('parts', 'size', 'complete'),
    [
        ([b'x' * 20_000] * 10, 200_000, True),
        ([b'x' * 20_000] * 2, 200_000, False),
        ([b'x'] * 40, 40, False),
    ],
    ids=['long transfer', 'falls silent', 'too slow'],
)
async def test_a_response_may_take_long_but_not_fall_silent(parts, size, complete):
    body = SlowBody(parts, 0.25, size)
    listener = await asyncio.start_server(body.handle_connection, '127.0.0.1', 0)
    client = HttpClient(f'127.0.0.1:{listener.sockets[0].getsockname()[1]}')
    try:
        if complete:
            response = await client.request('GET', '/', timeout_s=2)
            assert len(response.body) == size
        else:
            with pytest.raises(NoResponse):
                await client.request('GET', '/', timeout_s=2)
    finally:
        await client.close()
        listener.close()
