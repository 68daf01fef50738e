"""The client of the platform's HTTP interfaces: kept connections and lost answers."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from endivetally_platform.http_client import MAX_CONNECTIONS
from endivetally_platform.http_client import HttpClient
from endivetally_platform.http_client import NoResponse

WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'
LAST = b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok'
HALF = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok'
GARBAGE = b'\x00\xff\r\n\r\n'


class Server:
    """Answers each request with the next of some prepared answers."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0
        self.writers = []

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = int(head.lower().split(b'content-length: ')[1].split(b'\r')[0])
                self.requests.append((head, await reader.readexactly(length)))
                answer = self.answers.pop(0) if self.answers else WHOLE
                if answer is None:
                    await reader.read()
                    return
                writer.write(answer)
                if answer in {HALF, LAST}:
                    return
        except asyncio.IncompleteReadError:
            # The client has closed the connection.
            return
        finally:
            writer.close()


@asynccontextmanager
async def opened(*answers):
    server = Server(answers)
    listening = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    caller = HttpClient(f'127.0.0.1:{listening.sockets[0].getsockname()[1]}')
    try:
        yield server, caller
    finally:
        await caller.close()
        listening.close()
        for writer in server.writers:
            writer.close()
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('answer', [WHOLE, CHUNKED])
async def test_a_connection_is_kept(answer):
    async with opened(answer, answer) as (server, caller):
        for _ in range(2):
            reply = await caller.request('POST', '/path', timeout_s=5, body=b'{}')
            assert (reply.status, reply.body) == (200, b'ok')
        assert server.connections == 1
        head, body = server.requests[0]
        assert head.startswith(b'POST /path HTTP/1.1\r\n')
        assert body == b'{}'


async def test_query_and_headers():
    async with opened() as (server, caller):
        query = {'from': 'a b', 'to': '\U0010ffff'}
        headers = {'Host': 'name.example', 'X-Expect-Instance': 'i-1'}
        await caller.request(
            'GET', '/v1/rows', timeout_s=5, query=query, headers=headers
        )
        head = server.requests[0][0].decode()
        assert head.startswith('GET /v1/rows?from=a+b&to=%F4%8F%BF%BF HTTP/1.1')
        assert 'Host: name.example\r\n' in head
        assert 'X-Expect-Instance: i-1\r\n' in head


@pytest.mark.parametrize('answer', [HALF, GARBAGE, None])
async def test_what_is_not_whole_is_unanswered_and_its_connection_not_used(answer):
    async with opened(answer) as (server, caller):
        with pytest.raises(NoResponse):
            await caller.request('GET', '/', timeout_s=0.2)
        assert (await caller.request('GET', '/', timeout_s=5)).status == 200
        assert server.connections == 2


async def test_a_connection_that_the_server_closes_is_not_used():
    async with opened(LAST, WHOLE) as (server, caller):
        for _ in range(2):
            assert (await caller.request('GET', '/', timeout_s=5)).body == b'ok'
        server.writers[-1].close()
        await asyncio.sleep(0.05)
        assert (await caller.request('GET', '/', timeout_s=5)).body == b'ok'
        assert server.connections == 3


async def test_nobody_there():
    caller = HttpClient('127.0.0.1:9')
    with pytest.raises(NoResponse):
        await caller.request('GET', '/', timeout_s=5)
    await caller.close()


async def test_a_cancelled_call_leaves_its_connection():
    async with opened(None) as (server, caller):
        calling = asyncio.ensure_future(caller.request('GET', '/', timeout_s=5))
        while not server.requests:
            await asyncio.sleep(0.01)
        calling.cancel()
        with pytest.raises(asyncio.CancelledError):
            await calling
        assert (await caller.request('GET', '/', timeout_s=5)).body == b'ok'
        assert server.connections == 2


async def test_connections_are_bounded():
    async with opened() as (server, caller):
        calls = [
            caller.request('GET', '/', timeout_s=5) for _ in range(MAX_CONNECTIONS * 4)
        ]
        replies = await asyncio.gather(*calls)
        assert {reply.body for reply in replies} == {b'ok'}
        assert server.connections <= MAX_CONNECTIONS
