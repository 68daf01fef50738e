"""Minimal HTTP/1.1 server and client on asyncio, for the stand-ins of the cases."""

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class Response:
    """A response with a JSON body."""

    status: int
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read a request or a response: first line, headers with small names, and body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    pairs = (line.partition(':') for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get('content-length', '0'))
    return first, headers, await reader.readexactly(length)


def encode_message(first: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a request or a response."""
    lines = [first, *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


class HttpServer:
    """Serves one handler at one address, with persistent connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def abort_connections(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        # Cancelled when the case ends.
        ended = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with suppress(*ended):
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ', 2)
                parts = urlsplit(target)
                query = {
                    key: values[-1] for key, values in parse_qs(parts.query).items()
                }
                request = Request(method, parts.path, query, headers, body)
                response = await self._handler(request)
                encoded = json.dumps({} if response.body is None else response.body)
                writer.write(
                    encode_message(
                        f'HTTP/1.1 {response.status} Status',
                        {'Content-Type': 'application/json', **response.headers},
                        encoded.encode(),
                    )
                )
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Send one request on a new connection; return status and decoded body.

    The status is 0 if there is no complete response in time.
    """
    encoded = b'' if body is None else json.dumps(body).encode()
    sent = {'Host': f'{address[0]}:{address[1]}', 'Content-Type': 'application/json'}
    request = encode_message(
        f'{method} {path} HTTP/1.1', {**sent, **(headers or {})}, encoded
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            first, _, answer = await read_message(reader)
            return int(first.split(' ')[1]), json.loads(answer or b'{}')
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
