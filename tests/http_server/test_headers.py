"""Headers over the limit end a connection, whatever follows them."""

import pytest
from endivetally_policy.clients import HEADER_BYTES
from http_server.servers import serve


@pytest.mark.parametrize(
    'sent',
    [
        b'X-Long: ' + b'x' * HEADER_BYTES,
        b'a: b\r\n' * HEADER_BYTES,
        b'\r\n' + b'x' * (HEADER_BYTES + 1),
    ],
    ids=['long', 'many', 'no header'],
)
async def test_connection_with_long_headers_is_closed(sent):
    async with serve() as server:
        connection = await server.connect()
        connection.writer.write(b'POST / HTTP/1.1\r\n' + sent)
        await connection.wait_closed()
        assert server.requests == []
        assert server.usage.incomplete.total_bytes == 0


async def test_headers_within_the_limit_are_served():
    async with serve() as server:
        connection = await server.connect()
        connection.send([f'X-Long: {"x" * (HEADER_BYTES - 200)}', 'Content-Length: 0'])
        status, _, _ = await connection.read_response()
        assert status == 200
