"""Bodies in many small parts neither take the event loop nor are collected for long."""

import pytest
from endivetally_policy.clients import ServerLimits
from http_server.servers import serve

LIMITS = ServerLimits(10, 1_000_000)


async def test_body_in_chunks_of_one_byte_is_refused():
    async with serve(LIMITS) as server:
        connection = await server.connect()
        connection.send(['Transfer-Encoding: chunked'], b'1\r\na\r\n' * 20_000)
        status, _, content = await connection.read_response()
        assert status == 400
        assert content == {'error': 'body_in_small_parts', 'ran': 'not_run'}
        assert server.requests == []


@pytest.mark.parametrize(('size', 'count'), [(1, 1000), (400, 2000)])
async def test_body_in_chunks_of_a_usual_size_is_served(size, count):
    async with serve(LIMITS) as server:
        connection = await server.connect()
        chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
        connection.send(['Transfer-Encoding: chunked'], chunk * count + b'0\r\n\r\n')
        status, _, content = await connection.read_response()
        assert (status, content) == (200, {'length': size * count})
