"""Bodies are not parsed as forms, whatever their type."""

import pytest
from http_server.servers import serve


@pytest.mark.parametrize(
    'content_type',
    ['application/x-www-form-urlencoded', 'multipart/form-data; boundary=a'],
)
async def test_body_is_handed_over_as_it_is(content_type):
    body = b'--a\r\nContent-Disposition: form-data; name="b"\r\n\r\nc\r\n--a--\r\n'
    async with serve() as server:
        connection = await server.connect()
        head = [f'Content-Length: {len(body)}', f'Content-Type: {content_type}']
        connection.send(head, body)
        status, _, _ = await connection.read_response()
        (request,) = server.requests
        assert (status, request.body) == (200, body)
        assert request.body_arguments == {}
