"""A bounded server that counts its requests, and clients on plain connections."""

import asyncio
import json
from contextlib import asynccontextmanager

from endivetally_http import BoundedServer
from endivetally_http import ClientUsage
from endivetally_http import RefusalLog
from endivetally_policy.clients import ProcessLimits
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

HOST = '127.0.0.1'
# Bounds a test that hangs.
GIVE_UP_S = 20
MAX_BODY = 1000


class ListRefusalLog(RefusalLog):
    """Keeps the reports; the test sets the time."""

    def __init__(self):
        self.now = 0
        self.reports = []
        super().__init__(lambda: self.now)

    def write(self, report):
        self.reports.append(report)


class EchoHandler(RequestHandler):
    """Responds with the length of the body, and keeps the requests."""

    def initialize(self, requests):
        self.requests = requests

    def post(self):
        self.requests.append(self.request)
        self.finish({'length': len(self.request.body)})

    def get(self):
        self.requests.append(self.request)
        self.finish(b'x' * 100_000)


class Server:
    """A running server.

    :ivar requests: requests that were handled.
    """

    def __init__(self, limits, process_limits):
        self.requests = []
        self._connections = []
        self.log = ListRefusalLog()
        self.usage = ClientUsage(process_limits, self.log)
        application = Application([('/.*', EchoHandler, {'requests': self.requests})])
        self.server = BoundedServer(application, 'test', limits, self.usage)
        (listening,) = bind_sockets(0, HOST)
        self.port = listening.getsockname()[1]
        self.server.add_sockets([listening])

    async def connect(self):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        connection = Connection(reader, writer)
        # A connection without a reference would be closed.
        self._connections.append(connection)
        return connection


class Connection:
    """A connection of a client."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, head, body=b''):
        lines = '\r\n'.join(('Host: test', *head))
        self.writer.write(f'POST / HTTP/1.1\r\n{lines}\r\n\r\n'.encode() + body)

    async def read_response(self):
        """Return status, headers and the decoded body; ``None`` if it was closed."""
        async with asyncio.timeout(GIVE_UP_S):
            try:
                head = await self.reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                return None
            first, *lines = head.decode().split('\r\n')
            headers = dict(line.split(': ') for line in lines if line)
            body = await self.reader.readexactly(int(headers['Content-Length']))
            return int(first.split()[1]), headers, json.loads(body)

    async def call(self, body=b'{}'):
        """Send a sound request and return the response."""
        self.send([f'Content-Length: {len(body)}'], body)
        return await self.read_response()

    async def wait_closed(self):
        """Wait until the server has closed the connection."""
        async with asyncio.timeout(GIVE_UP_S):
            try:
                while await self.reader.read(65_536):
                    continue
            except ConnectionError:
                return


@asynccontextmanager
async def serve(limits=None, process_limits=None):
    """Yield a running server."""
    process_limits = process_limits or ProcessLimits()
    server = Server(limits or process_limits.caller_server(MAX_BODY), process_limits)
    try:
        yield server
    finally:
        server.server.stop()
        await server.server.close_all_connections()
