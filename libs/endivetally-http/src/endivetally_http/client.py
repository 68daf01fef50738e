"""A connection of a client, and the request that arrives on it."""

import asyncio
import socket
from abc import ABC
from abc import abstractmethod
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from endivetally_policy.clients import HEADER_BYTES
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from endivetally_http.body import BLOCK_BYTES
from endivetally_http.body import BodyBuffer
from endivetally_http.refusals import Refusal

# Bytes that are read at once. What follows a request on its connection may fill one
# such part while the request is handled.
READ_BYTES: Final = BLOCK_BYTES
# A body may come in this many parts of any size, and one more for each of these bytes.
# Each part takes about 50 us, of which a body in chunks of two bytes has a million.
MAX_SMALL_PARTS: Final = 1000
MIN_PART_BYTES: Final = 256
# Number of parts after which other connections are served.
PARTS_PER_TURN: Final = 64
# Bytes and seconds that are read of a refused body, so that its client receives the
# response before the connection is reset.
DISCARD_BYTES: Final = 1024 * 1024
DISCARD_S: Final = 1.0


class ObservedStream(IOStream):
    """A stream that reports how many bytes it has read from its socket.

    :param on_read: called with the number of bytes.
    """

    def __init__(
        self, connection: socket.socket, on_read: Callable[[int], None]
    ) -> None:
        super().__init__(
            connection,
            max_buffer_size=HEADER_BYTES + 2 * READ_BYTES,
            read_chunk_size=READ_BYTES,
        )
        self._on_read = on_read

    @property
    def has_buffered(self) -> bool:
        """Whether data was read that no request has consumed."""
        return self._read_buffer_size > 0

    def discard(self) -> None:
        """Close the stream and drop what was read of it.

        Complete requests in the buffer of a closed stream would still be handled,
        though no one can receive their responses.
        """
        self.close()
        self._read_buffer.clear()
        self._read_buffer_size = 0

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket."""
        size = super().read_from_fd(buf)
        if size:
            self._on_read(size)
        return size


class ClientOwner(ABC):
    """Keeps the connections of clients, and is told of the progress of requests."""

    @abstractmethod
    def count_read(self, client: 'Client', size: int) -> None:
        """Count bytes that were read from a connection."""

    @abstractmethod
    def body_received(self) -> None:
        """Handle that bytes were added to the body of a request."""

    @abstractmethod
    def request_arrived(self, client: 'Client') -> None:
        """Handle the end of a request, before it is handled."""

    @abstractmethod
    def request_refused(self, client: 'Client', refusal: Refusal) -> bytes:
        """Handle a request that exceeds a limit, and return the response to it."""


class Client:
    """A connection of a client.

    :param address: address of the client, for the log.
    :ivar body: body of the incomplete request; empty once it is refused.
    :ivar handling: whether a complete request has no complete response yet.
    :ivar refused: whether the connection is about to be closed.
    :ivar has_headers: whether the headers of a request without a complete response have
        arrived.
    :ivar unread_since: monotonic time from which the client reads no response.
    """

    def __init__(
        self, connection: socket.socket, address: str, owner: ClientOwner
    ) -> None:
        self.stream = ObservedStream(
            connection, lambda size: owner.count_read(self, size)
        )
        self.address = address
        self.owner = owner
        self.body = BodyBuffer()
        self.handling = False
        self.refused = False
        self.has_headers = False
        self.unread_since: float | None = None

    def refuse(self, refusal: Refusal) -> None:
        """Send the response to an incomplete request and close the connection."""
        response = self.owner.request_refused(self, refusal)
        self.body.clear()
        with suppress(StreamClosedError):
            self.stream.write(response)
        self.stream.discard()

    async def refuse_while_receiving(self, refusal: Refusal) -> None:
        """Send the response, discard a part of what arrives, and close the connection.

        Closing a connection with unread data resets it, and the client may then lose
        the response.
        """
        response = self.owner.request_refused(self, refusal)
        self.body.clear()
        stream = self.stream
        with suppress(StreamClosedError, OSError, TimeoutError):
            stream.write(response)
            stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(DISCARD_S):
                await _discard(stream)
        stream.discard()


class BoundedRequest(HTTPMessageDelegate):
    """Collects a request, and refuses it once its body is known to be too large.

    Bodies are not parsed as forms, which would take seconds for a large one.

    :param delegate: handles the complete request.
    :param max_body_bytes: longest body.
    """

    def __init__(
        self,
        delegate: HTTPMessageDelegate,
        client: Client,
        max_body_bytes: int,
    ) -> None:
        self._delegate = delegate
        self._client = client
        self._max_body_bytes = max_body_bytes
        self._part_count = 0

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Handle the headers, or refuse the request by the announced length."""
        if _announced_length(headers) > self._max_body_bytes:
            return self._refuse(Refusal.BODY_TOO_LARGE)
        self._client.has_headers = True
        headers.pop('Content-Type', None)
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Append a part of the body, or refuse the request."""
        self._client.body.append(chunk)
        self._part_count += 1
        # Further parts may follow without a switch to another task.
        self._client.owner.body_received()
        size = self._client.body.size
        if size > self._max_body_bytes:
            return self._refuse(Refusal.BODY_TOO_LARGE)
        if self._part_count > MAX_SMALL_PARTS + size / MIN_PART_BYTES:
            return self._refuse(Refusal.BODY_IN_SMALL_PARTS)
        return None if self._part_count % PARTS_PER_TURN else asyncio.sleep(0)

    def finish(self) -> None:
        """Handle the complete request."""
        # The last part of a body may come with the decision to evict it.
        if self._client.refused:
            return
        self._client.owner.request_arrived(self._client)
        body = self._client.body.take()
        if body:
            self._delegate.data_received(body)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        """Handle the end of the connection before the request was complete."""
        self._client.body.clear()
        self._delegate.on_connection_close()

    def _refuse(self, refusal: Refusal) -> Awaitable[None]:
        return self._client.refuse_while_receiving(refusal)


def _announced_length(headers: HTTPHeaders) -> int:
    """Return the announced length of a body; tornado rejects malformed ones."""
    try:
        return int(headers.get('Content-Length', '0'))
    except ValueError:
        return 0


async def _discard(stream: IOStream) -> None:
    discarded = 0
    while discarded < DISCARD_BYTES:
        discarded += len(await stream.read_bytes(READ_BYTES, partial=True))
