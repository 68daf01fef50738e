"""HTTP client of the platform's table service."""

import contextlib
from typing import Final
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import Address
from tornado.httpclient import AsyncHTTPClient
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest

from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

CONNECT_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 2.0
# Longer than for other requests, since a scan may return many rows.
SCAN_TIMEOUT_S: Final = 10.0
MAX_CONNECTIONS: Final = 16
MAX_RESPONSE_BYTES: Final = 256 * 1024 * 1024
MSGPACK_TYPE: Final = 'application/msgpack'
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409

Content = TypeVar('Content')

_encode = msgspec.msgpack.encode
_row_decoder = msgspec.msgpack.Decoder(Row)
_rows_decoder = msgspec.msgpack.Decoder(list[Row])


class HttpTable(Table):
    """Sends requests with MessagePack bodies to the table service.

    :param address: host and port of the service.
    """

    def __init__(self, address: Address) -> None:
        self._url = f'http://{address}'
        self._exit_stack = contextlib.ExitStack()
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_RESPONSE_BYTES,
        )
        self._exit_stack.callback(self._client.close)

    async def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` when it does not exist."""
        query = urlencode({'key': key})
        try:
            body = await self._fetch(self._build_request(f'/row?{query}'))
        except HTTPError as error:
            if error.code == _NOT_FOUND:
                return None
            raise TableUnavailable(str(error)) from error
        return _decode(_row_decoder, body)

    async def scan(
        self, prefix: str, *, after: str = '', limit: int | None = None
    ) -> list[Row]:
        """Return the rows whose key starts with the prefix, in key order."""
        optional = {} if limit is None else {'limit': limit}
        query = urlencode({'prefix': prefix, 'after': after, **optional})
        request = self._build_request(f'/scan?{query}', timeout_s=SCAN_TIMEOUT_S)
        try:
            body = await self._fetch(request)
        except HTTPError as error:
            raise TableUnavailable(str(error)) from error
        return _decode(_rows_decoder, body)

    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction atomically."""
        request = self._build_request('/commit')
        request.method = 'POST'
        request.body = _encode(transaction)
        try:
            await self._fetch(request)
        except HTTPError as error:
            if error.code == _CONFLICT:
                raise TableConflict(str(error)) from error
            raise TableUnavailable(str(error)) from error

    def close(self) -> None:
        """Close the connections to the service."""
        self._exit_stack.close()

    def _build_request(
        self, path: str, *, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> HTTPRequest:
        return HTTPRequest(
            f'{self._url}{path}',
            headers={'Content-Type': MSGPACK_TYPE, 'Accept': MSGPACK_TYPE},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
        )

    async def _fetch(self, request: HTTPRequest) -> bytes:
        try:
            response = await self._client.fetch(request)
        except OSError as error:
            raise TableUnavailable(str(error)) from error
        return response.body


def _decode(decoder: 'msgspec.msgpack.Decoder[Content]', body: bytes) -> Content:
    try:
        return decoder.decode(body)
    except DECODE_ERRORS as error:
        raise TableUnavailable(str(error)) from error
