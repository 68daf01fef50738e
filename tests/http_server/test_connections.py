"""A server with too many connections closes those that do the least for anyone."""

import asyncio
import errno
import socket

import pytest
from endivetally_core.listener import Listener
from endivetally_policy.clients import ServerLimits
from http_server.servers import serve

MAX_CONNECTIONS = 5
LIMITS = ServerLimits(MAX_CONNECTIONS, 1000)


async def test_connections_that_send_nothing_are_closed_for_new_ones():
    async with serve(LIMITS) as server:
        silent = [await server.connect() for _ in range(MAX_CONNECTIONS)]
        connection = await server.connect()
        status, _, _ = await connection.call()
        assert status == 200
        await silent[0].wait_closed()
        assert server.usage.connections['test'] <= MAX_CONNECTIONS


async def test_connection_of_a_caller_between_two_requests_outlasts_silent_ones():
    async with serve(LIMITS) as server:
        caller = await server.connect()
        for _ in range(4 * MAX_CONNECTIONS):
            await server.connect()
            status, _, _ = await caller.call()
            assert status == 200
        assert server.log.counts['test', 'too_many_connections'] > MAX_CONNECTIONS


async def test_incomplete_request_is_refused_as_not_run():
    async with serve(LIMITS) as server:
        slow = await server.connect()
        slow.send(['Content-Length: 100'], b'x')
        while not len(server.usage.incomplete):
            await asyncio.sleep(0.01)
        for _ in range(MAX_CONNECTIONS):
            await server.connect()
        status, _, content = await slow.read_response()
        assert status == 503
        assert content == {'error': 'too_many_connections', 'ran': 'not_run'}


async def test_connection_whose_responses_are_not_read_is_closed_for_new_ones():
    async with serve(LIMITS) as server:
        request = b'GET / HTTP/1.1\r\nHost: test\r\n\r\n'
        for _ in range(MAX_CONNECTIONS):
            unread = await server.connect()
            unread.writer.write(request * 1000)
            await asyncio.sleep(0.1)
        for _ in range(3):
            connection = await server.connect()
            assert await connection.call() is not None


async def test_buffered_requests_of_closed_connections_are_not_handled():
    async with serve(LIMITS) as server:
        connection = await server.connect()
        connection.writer.write(b'GET /a HTTP/1.1\r\nHost: test\r\n\r\n' * 400)
        while not server.requests:
            await asyncio.sleep(0)
        handled = len(server.requests)
        server.server.stop()
        await server.server.close_all_connections()
        assert len(server.requests) <= handled + 1


async def test_request_that_is_handled_keeps_its_connection():
    async with serve(ServerLimits(1, 1000)) as server:
        released = asyncio.Event()
        handled = asyncio.Event()

        async def handle(handler):
            handled.set()
            await released.wait()
            handler.finish({})

        rule = server.server.request_callback.default_router.rules[0]
        handler_class = rule.target.rules[0].target
        waiting = type('Waiting', (handler_class,), {'post': handle})
        rule.target.rules[0].target = waiting
        caller = await server.connect()
        caller.send(['Content-Length: 2'], b'{}')
        await handled.wait()
        refused = await server.connect()
        await refused.wait_closed()
        released.set()
        status, _, _ = await caller.read_response()
        assert status == 200


class FailingSocket(socket.socket):
    """A listening socket that can't accept connections at first."""

    failures = 2

    def accept(self):
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, 'no descriptor left')
        return super().accept()


@pytest.mark.parametrize('failures', [1, 3])
async def test_listening_socket_rests_while_there_is_no_descriptor(failures):
    listening = FailingSocket()
    listening.failures = failures
    listening.bind(('127.0.0.1', 0))
    listening.listen()
    listening.setblocking(False)
    accepted = asyncio.Event()
    reports = []

    def serve_connection(connection, address):
        connection.close()
        accepted.set()

    listener = Listener(serve_connection, lambda: reports.append(''))
    listener.add(listening)
    (port,) = listener.ports
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    await accepted.wait()
    assert len(reports) == failures
    writer.close()
    listener.close()
