"""Bodies over the limit are refused before they arrive, and clients are told so."""

import asyncio

import pytest
from http_server.servers import MAX_BODY
from http_server.servers import serve

CHUNK = b'200\r\n%b\r\n' % (b'x' * 512)


@pytest.mark.parametrize(
    ('head', 'body'),
    [
        ([f'Content-Length: {MAX_BODY + 1}'], b''),
        ([f'Content-Length: {10**12}'], b'x' * 100_000),
        ([f'Content-Length: {10**12}', 'Expect: 100-continue'], b''),
        (['Transfer-Encoding: chunked'], CHUNK * 2),
        (['Transfer-Encoding: chunked'], CHUNK * 100),
        (['Transfer-Encoding: chunked'], b'ffffffff\r\n' + b'x' * 10_000),
    ],
    ids=['announced', 'announced and sent', 'expected', 'chunked', 'chunks', 'chunk'],
)
async def test_client_is_told_that_nothing_has_run(head, body):
    async with serve() as server:
        connection = await server.connect()
        connection.send(head, body)
        status, headers, content = await connection.read_response()
        assert (status, content) == (413, {'error': 'body_too_large', 'ran': 'not_run'})
        assert headers['Connection'] == 'close'
        await connection.wait_closed()
        assert server.requests == []
        assert server.log.counts == {('test', 'body_too_large'): 1}


async def test_client_that_goes_on_sending_receives_the_response():
    async with serve() as server:
        connection = await server.connect()
        connection.send([f'Content-Length: {10**9}'])
        for _ in range(50):
            connection.writer.write(b'x' * 10_000)
            await asyncio.sleep(0)
        status, _, _ = await connection.read_response()
        assert status == 413


@pytest.mark.parametrize(
    'length', ['-1', '1e3', '9' * 5000, '1, 2', ''], ids=lambda text: text[:5]
)
async def test_malformed_length_is_rejected(length):
    async with serve() as server:
        connection = await server.connect()
        connection.send([f'Content-Length: {length}'], b'{}')
        await connection.wait_closed()
        assert server.requests == []


@pytest.mark.parametrize('size', [0, 1, MAX_BODY])
async def test_body_within_the_limit_is_served(size):
    async with serve() as server:
        connection = await server.connect()
        for _ in range(2):
            status, _, content = await connection.call(b'x' * size)
            assert (status, content) == (200, {'length': size})


async def test_first_refusal_of_a_period_is_reported_with_the_count_of_the_last():
    async with serve() as server:
        for now in (0, 1, 2, 15):
            server.log.now = now
            connection = await server.connect()
            connection.send([f'Content-Length: {10**9}'])
            await connection.read_response()
        counts = [report.count for report in server.log.reports]
        assert counts == [1, 3]
        assert server.log.counts == {('test', 'body_too_large'): 4}
