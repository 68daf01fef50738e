"""A fake entry for tests: accepts joins and records the messages that agents send."""

import asyncio

import msgspec
from endivetally_core.errors import LinkClosed
from endivetally_core.identifiers import new_incarnation
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_core.joining import JoinRequest
from endivetally_core.joining import JoinResponse
from endivetally_core.links import LinkCounters
from endivetally_core.links import LinkListener
from endivetally_core.links import NngLink
from endivetally_core.messages import AgentState
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_core.messages import EntryState
from endivetally_core.wire import WatchRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler


class JoinHandler(RequestHandler):
    def initialize(self, entry):
        self.entry = entry

    def post(self):
        self.finish(self.entry.handle_join(self.request.body))


class FakeEntry:
    """Accepts one link at a time and collects its messages."""

    def __init__(self, name='entry-1', fenced=()):
        self.name = name
        self.fenced = list(fenced)
        self.known_entries = []
        self.version = 0
        self.answered_requests = {WatchRequest.START_AND_PROBE, WatchRequest.PROBE}
        self.joined_agents = []
        self.messages = []
        self.link = None
        self._changed = asyncio.Event()
        self._tasks = set()

    async def __aenter__(self):
        sockets = bind_sockets(0, '127.0.0.1')
        self.address = Address('127.0.0.1', sockets[0].getsockname()[1])
        self.identity = EntryIdentity(
            self.name, new_incarnation(self.name), 'dc-1', self.address
        )
        routes = [('/internal/join', JoinHandler, {'entry': self})]
        self._server = HTTPServer(Application(routes))
        self._server.add_sockets(sockets)
        return self

    async def __aexit__(self, *_exception):
        self._server.stop()
        await self._server.close_all_connections()
        if self.link is not None:
            self.link.close()
        for task in list(self._tasks):
            task.cancel()

    def handle_join(self, body):
        self.joined_agents.append(msgspec.json.decode(body, type=JoinRequest).agent)
        listener = LinkListener('127.0.0.1')
        task = asyncio.ensure_future(self._serve(listener))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        response = JoinResponse(
            listener.address,
            self.identity,
            [self.identity, *self.known_entries],
            self.fenced,
        )
        return msgspec.json.encode(response)

    async def _serve(self, listener):
        socket = await listener.accept()
        self.link = NngLink(
            socket,
            peer='agent',
            data_centre='dc-1',
            get_version=lambda: self.version,
            counters=LinkCounters(),
        )
        self._changed.set()
        while True:
            try:
                frame = await self.link.receive()
            except LinkClosed:
                return
            self.messages.extend(frame.messages)
            self._respond_to_probes(frame.messages)
            self._changed.set()

    def _respond_to_probes(self, messages):
        for message in messages:
            if (
                isinstance(message, AgentState)
                and message.watch in self.answered_requests
            ):
                self.link.post(EntryState('open'))

    async def wait_until_linked(self):
        await self._wait_until(lambda: self.link is not None and not self.link.closed)

    async def wait_for(self, kind, accept=lambda _message: True):
        """Wait for a message of a class, remove it from the list and return it."""
        found = []

        def search():
            found[:] = [
                message
                for message in self.messages
                if isinstance(message, kind) and accept(message)
            ]
            return bool(found)

        await self._wait_until(search)
        self.messages.remove(found[0])
        return found[0]

    def dispatch(self, sequence, payload, number=0, attempt=0, **fields):
        attempt_id = AttemptId(self.identity.incarnation, sequence, number, attempt)
        values = {'kind': 'idempotent', 'deadline_ms': 5000} | fields
        self.link.post(
            Dispatch(
                attempt_id,
                values.pop('service', 'lookups'),
                payload=msgspec.json.encode(payload),
                **values,
            )
        )
        return attempt_id

    async def _wait_until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                self._changed.clear()
                await self._changed.wait()
