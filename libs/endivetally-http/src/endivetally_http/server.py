"""HTTP server with bounds on connections, bodies and incomplete requests.

It answers the requests that have arrived when it closes.
"""

import asyncio
import socket
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Final

from endivetally_core.clock import monotonic_now
from endivetally_core.listener import Listener
from endivetally_policy.clients import HEADER_BYTES
from endivetally_policy.clients import EvictionOrder
from endivetally_policy.clients import ServerLimits
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream
from tornado.iostream import UnsatisfiableReadError
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
# Buffer of the kernel for a connection, which Linux doubles. What it holds unread
# counts for the memory of the machine.
RECEIVE_BUFFER_BYTES: Final = 8 * 1024
# Interval of the checks for slow clients.
SLOW_CHECK_S: Final = 1.0
# A connection is closed when its client has not taken a response within this time.
UNREAD_S: Final = 20.0
# The body is bounded by `BoundedRequest`, whose response tells the client so.
_NO_BODY_LIMIT: Final = 2**62


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
            max_header_size=HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_body_size=_NO_BODY_LIMIT,
        )
        self._name = name
        self._limits = limits
        self._usage = usage
        self._encode_body = encode_body
        self._listener = Listener(self._serve_connection, self._report_failure)
        self._clients: dict[IOStream, Client] = {}
        self._order: EvictionOrder[Client] = EvictionOrder()
        self._slow_check: asyncio.TimerHandle | None = None

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on listening sockets."""
        for listening in sockets:
            listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self._listener.add(listening)

    def stop(self) -> None:
        """Accept the connections that wait in the backlog, then stop listening."""
        self._listener.close()
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

    async def close_all_connections(self) -> None:
        """Close all connections and wait until their requests are no longer handled."""
        if self._slow_check is not None:
            self._slow_check.cancel()
            self._slow_check = None
        for client in self._clients.values():
            client.stream.discard()
        await super().close_all_connections()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that handles the next request of a connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        client = self._clients[server_conn.stream]
        if client.handling:
            client.handling = False
            self._order.add_used(client)
        client.has_headers = False
        client.unread_since = None
        delegate = super().start_request(server_conn, request_conn)
        return BoundedRequest(delegate, client, self._limits.max_body_bytes)

    def on_close(self, server_conn: object) -> None:
        """Forget a closed connection."""
        assert isinstance(server_conn, HTTP1ServerConnection)
        client = self._clients.pop(server_conn.stream)
        if isinstance(client.stream.error, UnsatisfiableReadError):
            self._record(client, Refusal.HEADERS_TOO_LARGE)
        self._order.remove(client)
        self._usage.incomplete.remove(client)
        self._usage.connections[self._name] -= 1
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
        self._order.remove(client)
        client.handling = True

    def request_refused(self, client: Client, refusal: Refusal) -> bytes:
        """Count the refusal, release the request and return the response to it."""
        self._record(client, refusal)
        self._usage.incomplete.remove(client)
        client.refused = True
        return encode_refusal(refusal, self._encode_body(refusal))

    def _report_failure(self) -> None:
        """Close a connection, as the process has no descriptor for another one."""
        self._record_closed('', Refusal.ACCEPT_FAILED)
        self._evict_connection(Refusal.ACCEPT_FAILED)

    def _serve_connection(
        self, connection: socket.socket, address: tuple[Any, ...]
    ) -> None:
        full = len(self._clients) >= self._limits.max_connections
        if full and not self._evict_connection(Refusal.TOO_MANY_CONNECTIONS):
            self._record_closed(address[0], Refusal.TOO_MANY_CONNECTIONS)
            connection.close()
            return
        client = Client(connection, address[0], self)
        self._clients[client.stream] = client
        self._order.add_new(client)
        self._usage.connections[self._name] += 1
        if self._slow_check is None:
            self._schedule_slow_check()
        self.handle_stream(client.stream, address)

    def _evict_connection(self, reason: Refusal) -> bool:
        """Close the first connection of the eviction order, if there is one."""
        client = self._order.find_next() or self._find_unread()
        if client is None:
            return False
        self._order.remove(client)
        if client in self._usage.incomplete:
            client.refuse(Refusal.TOO_MANY_CONNECTIONS)
            return True
        self._record(client, reason)
        client.stream.discard()
        return True

    def _find_unread(self) -> Client | None:
        """Return a client that sends more before it has read its response."""
        for client in self._clients.values():
            stream = client.stream
            if not stream.closed() and (stream.writing() or stream.has_buffered):
                return client
        return None

    def _record(self, client: Client, refusal: Refusal) -> None:
        self._usage.refusal_log.record(
            self._name,
            refusal,
            client.address,
            self._usage.incomplete.size(client),
            len(self._clients),
        )

    def _record_closed(self, address: str, refusal: Refusal) -> None:
        """Record a connection that is closed before anything is read from it."""
        log = self._usage.refusal_log
        log.record(self._name, refusal, address, 0, len(self._clients))

    def _schedule_slow_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._slow_check = loop.call_later(SLOW_CHECK_S, self._close_slow_clients)

    def _close_slow_clients(self) -> None:
        """Refuse overdue requests, and close connections whose responses are unread."""
        now = monotonic_now()
        self._usage.refuse_overdue()
        for client in list(self._clients.values()):
            if not client.stream.writing():
                client.unread_since = None
            elif client.unread_since is None:
                client.unread_since = now
            elif now - client.unread_since > UNREAD_S:
                self._record(client, Refusal.UNREAD_RESPONSE)
                client.stream.discard()
        self._slow_check = None
        if self._clients:
            self._schedule_slow_check()


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
