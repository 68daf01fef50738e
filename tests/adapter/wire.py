"""Small servers that speak the platform's protocol, for tests of the adapter."""

import base64
import json
from contextlib import asynccontextmanager

from endivetally_core.errors import TableConflict
from endivetally_table.feed import HistoryLost
from endivetally_table.memory_feed import MemoryFeedTable
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Transaction
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler


class _Handler(RequestHandler):
    def initialize(self, stand_in):
        self.stand_in = stand_in

    def send(self, status, body):
        self.set_status(status)
        self.finish(json.dumps(body))


class _Transaction(_Handler):
    async def post(self):
        self.stand_in.calls += 1
        if self.stand_in.status:
            self.send(self.stand_in.status, {})
            return
        body = json.loads(self.request.body)
        entries = [*body['puts'], *body['remove'], *body['expectedRevision']]
        (name,) = {entry['table'] for entry in entries}
        puts = [
            Put(entry['key'], base64.b64decode(entry['value']))
            for entry in body['puts']
        ]
        puts += [Put(entry['key'], None) for entry in body['remove']]
        conditions = [
            Condition(entry['key'], entry['ver']) for entry in body['expectedRevision']
        ]
        try:
            await self.stand_in.table(name).commit(
                Transaction(tuple(conditions), tuple(puts))
            )
        except TableConflict:
            self.send(412, {'rows': []})
            return
        self.send(200, {'ver': 1, 'nowMs': 1})


def _wire_row(name, row, **extra):
    value = base64.b64encode(row.content).decode()
    return {
        'table': name,
        'part': '',
        'key': row.key,
        'value': value,
        'ver': row.version,
        **extra,
    }


class _Rows(_Handler):
    async def get(self):
        name = self.get_query_argument('table')
        limit = min(int(self.get_query_argument('limit')), self.stand_in.page_rows)
        snapshot = await self.stand_in.table(name).snapshot('')
        first, last = (self.get_query_argument(each) for each in ('from', 'to'))
        rows = [row for row in snapshot.rows if first <= row.key < last]
        self.send(
            200,
            {
                'rows': [_wire_row(name, row) for row in rows[:limit]],
                'hasMore': len(rows) > limit,
                'ver': snapshot.version,
                'nowMs': 1,
            },
        )


class _Feed(_Handler):
    async def get(self):
        name = self.get_query_argument('table')
        after = int(self.get_query_argument('after'))
        wait_s = int(self.get_query_argument('waitMs')) / 1000
        try:
            changes = await self.stand_in.table(name).changes(after, wait_s)
        except HistoryLost:
            self.send(410, {})
            return
        rows = [_wire_row(name, row) for row in changes.rows]
        rows += [_wire_row(name, row, deleted=True) for row in changes.deleted]
        self.send(200, {'rows': rows, 'ver': changes.version, 'nowMs': 1})


class WireStore:
    """The platform's store.

    :param status: answers every write with it, without effect.
    """

    def __init__(self):
        self.calls = 0
        self.status = 0
        self.page_rows = 500
        self.tables = {}

    def table(self, name):
        return self.tables.setdefault(name, MemoryFeedTable())

    def application(self):
        parts = {'stand_in': self}
        return Application(
            [
                ('/v1/rows-tx', _Transaction, parts),
                ('/v1/rows-get', _Rows, parts),
                ('/v1/rows-feed', _Feed, parts),
            ]
        )


class _Order(_Handler):
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


class WireWorker:
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
