"""HTTP server with bounds on bodies and incomplete requests.

It answers the requests that have arrived when it closes.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Final

from endivetally_core.clock import monotonic_now
from endivetally_policy.clients import ServerLimits
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream
from tornado.web import Application

from endivetally_http.client import READ_BYTES
from endivetally_http.client import BoundedRequest
from endivetally_http.client import Client
from endivetally_http.client import ClientOwner
from endivetally_http.refusals import Refusal
from endivetally_http.refusals import encode_refusal
from endivetally_http.refusals import encode_refusal_body
from endivetally_http.usage import ClientUsage

# Interval between the checks of the connections that have a request to answer.
CLOSE_CHECK_S: Final = 0.005
# A caller may keep a connection open between two requests.
IDLE_TIMEOUT_S: Final = 3600
# The body is bounded by `BoundedRequest`, whose response tells the client so.
_NO_BODY_LIMIT: Final = 2**62

_log = logging.getLogger(__name__)


class BoundedServer(HTTPServer, ClientOwner):
    """HTTP server whose clients can't take more than their share of the process.

    It loses no request that has arrived before it closes: closing a listening socket
    resets the connections that wait in its backlog, and closing a connection discards a
    request in its socket buffer. Both are looked for immediately before, without a
    switch to another task.

    :param application: handles the complete requests.
    :param name: name of the server in logs and metrics.
    :param limits: limits of this server.
    :param usage: shared by all servers of the process.
    :param encode_body: returns the JSON body of the response to a refused request.
    """

    def __init__(
        self,
        application: Application,
        name: str,
        limits: ServerLimits,
        usage: ClientUsage,
        encode_body: Callable[[Refusal], bytes] = encode_refusal_body,
    ) -> None:
        """Create the server; tornado calls ``initialize`` with the same arguments."""

    def initialize(  # type: ignore[override]
        self,
        application: Application,
        name: str,
        limits: ServerLimits,
        usage: ClientUsage,
        encode_body: Callable[[Refusal], bytes] = encode_refusal_body,
    ) -> None:
        """Create the server; tornado calls this in place of ``__init__``."""
        super().initialize(
            application,
            chunk_size=READ_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_body_size=_NO_BODY_LIMIT,
        )
        self._name = name
        self._limits = limits
        self._usage = usage
        self._encode_body = encode_body
        self._listening: list[socket.socket] = []
        self._clients: dict[IOStream, Client] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        listening = tuple(sockets)
        self._listening.extend(listening)
        super().add_sockets(listening)

    def stop(self) -> None:
        """Accept the connections that wait in the backlog, then stop listening."""
        for listening in self._listening:
            self._accept_waiting(listening)
        self._listening.clear()
        super().stop()

    async def close_answered(self, timeout_s: float) -> None:
        """Close each connection once it has no request to answer.

        :param timeout_s: seconds after which the remaining connections are closed.
        """
        end_at = monotonic_now() + timeout_s
        while self._clients and monotonic_now() < end_at:
            for client in list(self._clients.values()):
                if not _has_request(client):
                    client.stream.close()
            await asyncio.sleep(CLOSE_CHECK_S)
        await self.close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that handles the next request of a connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        client = self._clients[server_conn.stream]
        client.handling = False
        client.has_headers = False
        delegate = super().start_request(server_conn, request_conn)
        return BoundedRequest(delegate, client, self._limits.max_body_bytes)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        client = self._clients.pop(server_conn.stream)
        self._usage.incomplete.remove(client)
        super().on_close(server_conn)

    def count_read(self, client: Client, size: int) -> None:
        """Count bytes of an incomplete request."""
        # What follows a request that is handled fits into the share of a connection.
        if not (client.handling or client.refused):
            self._usage.count_read(client, size)

    def body_received(self) -> None:
        """Evict requests if all incomplete ones take too much memory."""
        self._usage.evict_requests()

    def request_arrived(self, client: Client) -> None:
        """Keep the connection while its request is handled."""
        self._usage.incomplete.remove(client)
        client.handling = True

    def request_refused(self, client: Client, refusal: Refusal) -> bytes:
        """Count the refusal, release the request and return the response to it."""
        self._record(client, refusal)
        self._usage.incomplete.remove(client)
        client.refused = True
        return encode_refusal(refusal, self._encode_body(refusal))

    def _handle_connection(
        self, connection: socket.socket, address: tuple[Any, ...]
    ) -> None:
        client = Client(connection, address[0], self)
        self._clients[client.stream] = client
        self.handle_stream(client.stream, address)

    def _accept_waiting(self, listening: socket.socket) -> None:
        while True:
            try:
                connection, address = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                _log.warning('connections in the backlog are lost: %s', error)
                return
            self._handle_connection(connection, address)

    def _record(self, client: Client, refusal: Refusal) -> None:
        self._usage.refusal_log.record(
            self._name,
            refusal,
            client.address,
            self._usage.incomplete.size(client),
            len(self._clients),
        )


def _has_request(client: Client) -> bool:
    stream = client.stream
    # A stream without a pending read hands over what it has read.
    is_waiting = stream.reading() and not stream.writing()
    return client.has_headers or not is_waiting or _has_unread(stream)


def _has_unread(stream: IOStream) -> bool:
    if stream.closed():
        return False
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        return False
