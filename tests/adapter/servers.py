"""HTTP servers for the tests of the platform's adapter."""

import asyncio
import json
from contextlib import asynccontextmanager

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler


class _CommandHandler(RequestHandler):
    def initialize(self, stand_in):
        self.stand_in = stand_in

    async def post(self, command):
        target = self.stand_in
        target.commands.append(
            (
                command,
                json.loads(self.request.body),
                self.request.headers.get('X-Expect-Instance'),
            )
        )
        if command in target.held:
            await target.released.wait()
        status, body = target.responses.get(command, (200, {'clockMs': 5}))
        self.set_status(status)
        self.finish(body if isinstance(body, bytes) else json.dumps(body))


class ScriptedTarget:
    """A target that records commands and sends prepared responses.

    ``responses`` maps a command to the status and the body of its response. Those to
    commands in ``held`` are held until ``released`` is set.
    """

    def __init__(self):
        self.commands = []
        self.responses = {}
        self.held = set()
        self.released = asyncio.Event()

    def create_application(self):
        return Application([('/v1/([a-z-]+)', _CommandHandler, {'stand_in': self})])


@asynccontextmanager
async def serve(application):
    """Serve an application on a free loopback port, and yield its address."""
    (socket,) = bind_sockets(0, '127.0.0.1')
    server = HTTPServer(application)
    server.add_sockets([socket])
    try:
        yield f'127.0.0.1:{socket.getsockname()[1]}'
    finally:
        server.stop()
        await server.close_all_connections()
