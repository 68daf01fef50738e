"""All incomplete requests together keep within their part of the memory."""

import asyncio

from endivetally_policy.clients import ProcessLimits
from http_server.servers import serve

# An eighth of it is for incomplete requests.
MEMORY_MB = 8
PROCESS_LIMITS = ProcessLimits(MEMORY_MB)
MAX_BODY = 400_000


def serve_small():
    return serve(PROCESS_LIMITS.caller_server(MAX_BODY), PROCESS_LIMITS)


async def hold_body(server, size):
    connection = await server.connect()
    connection.send([f'Content-Length: {size + 1}'], b'x' * size)
    await connection.writer.drain()
    return connection


async def test_requests_that_hold_most_are_refused_as_not_run():
    async with serve_small() as server:
        small = await hold_body(server, 1000)
        large = [await hold_body(server, 300_000) for _ in range(8)]
        responses = [await large[number].read_response() for number in range(4)]
        for status, headers, content in responses:
            assert (status, headers['Retry-After']) == (503, '1')
            assert content == {'error': 'no_memory', 'ran': 'not_run'}
        limit = PROCESS_LIMITS.max_incomplete_bytes
        assert server.usage.incomplete.total_bytes <= limit
        small.writer.write(b'x')
        status, _, content = await small.read_response()
        assert (status, content) == (200, {'length': 1001})


async def test_memory_is_released_when_requests_end():
    async with serve_small() as server:
        complete = await hold_body(server, 100_000)
        closed = await hold_body(server, 100_000)
        complete.writer.write(b'x')
        await complete.read_response()
        closed.writer.close()
        refused = await server.connect()
        refused.send(['Transfer-Encoding: chunked'], b'fffff\r\n' + b'x' * 900_000)
        await refused.wait_closed()
        while len(server.usage.incomplete):
            await asyncio.sleep(0.01)
        assert server.usage.incomplete.total_bytes == 0


async def test_sound_request_is_served_while_others_fill_the_memory():
    async with serve_small() as server:
        for _ in range(12):
            await hold_body(server, 300_000)
            connection = await server.connect()
            status, _, _ = await connection.call(b'x' * 200_000)
            assert status == 200
