"""Small servers that speak the platform's protocol, for tests of the adapter."""

import json
from contextlib import asynccontextmanager

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler


class _Order(RequestHandler):
    def initialize(self, stand_in):
        self.stand_in = stand_in

    def post(self, call):
        worker = self.stand_in
        worker.orders.append(
            (
                call,
                json.loads(self.request.body),
                self.request.headers.get('X-Expect-Instance'),
            )
        )
        status, body = worker.answers.get(call, (200, {'clockMs': 5}))
        self.set_status(status)
        self.finish(body if isinstance(body, bytes) else json.dumps(body))


class ScriptedWorker:
    """An application worker that gives prepared answers."""

    def __init__(self):
        self.orders = []
        self.answers = {}

    def application(self):
        return Application([('/v1/([a-z-]+)', _Order, {'stand_in': self})])


@asynccontextmanager
async def serve(application):
    """Serve an application on a free port of loopback; give its address."""
    (socket,) = bind_sockets(0, '127.0.0.1')
    server = HTTPServer(application)
    server.add_sockets([socket])
    try:
        yield f'127.0.0.1:{socket.getsockname()[1]}'
    finally:
        server.stop()
        await server.close_all_connections()
