"""Requests that have arrived at an entry when it closes its sockets are answered."""

import asyncio
import json
import socket

import pytest
from adapter.test_entry_api import CONFIGURATION
from adapter.test_entry_api import JOB
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_platform import programs
from endivetally_platform.configuration import decode_configuration
from endivetally_platform.programs import EntryProgram
from endivetally_platform.settings import Bounds
from endivetally_platform.settings import ListenAddresses
from endivetally_platform.settings import NodeSettings
from endivetally_platform.settings import StoreSettings
from tornado.iostream import IOStream

HOST = '127.0.0.1'
CALLERS = 100
BODY = json.dumps(JOB).encode()
REQUEST = (
    b'POST /lohu930/5c0e HTTP/1.1\r\nHost: nony24.example\r\n'
    b'Content-Length: %d\r\n\r\n%s' % (len(BODY), BODY)
)


def find_free_port():
    with socket.socket() as free:
        free.bind((HOST, 0))
        return free.getsockname()[1]


def create_program(grace_s=6.0):
    settings = NodeSettings(
        'entry-1',
        HOST,
        'dc',
        (7720, 7735),
        ListenAddresses(),
        StoreSettings(f'{HOST}:1'),
        Bounds(grace_s),
    )
    events = EventLog('test', 'test', write=lambda lines: None)
    program = EntryProgram(settings, events, 'entry-1.1')
    config, program.routing_table = decode_configuration(CONFIGURATION)
    program.entry.apply_config(config)
    return program


class Callers:
    """Callers whose requests the kernel takes although the entry reads nothing."""

    def __init__(self, port, count=CALLERS):
        self.sockets = [socket.create_connection((HOST, port)) for _ in range(count)]

    def send(self, request):
        for each in self.sockets:
            each.sendall(request)

    async def read_responses(self):
        return [await read_to_end(each) for each in self.sockets]


async def read_to_end(caller):
    stream = IOStream(caller)
    try:
        return await stream.read_until_close()
    except OSError as error:
        return repr(error).encode()


def assert_refused(response):
    head, _, body = response.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503 ')
    assert b'Retry-After: ' in head
    assert json.loads(body)['ran'] == 'not_run'


@pytest.fixture
def port(monkeypatch):
    """Remove the waits of a shut-down, so that it closes before it accepts or reads."""
    monkeypatch.setattr(programs, 'BALANCER_REMOVAL_S', 0)
    monkeypatch.setattr(programs, 'LAST_RESPONSES_S', 0)
    return find_free_port()


async def test_requests_in_the_backlog_are_answered(port):
    program = create_program()
    async with program.exit_stack:
        server = program.serve_callers(Address(HOST, port))
        callers = Callers(port)
        callers.send(REQUEST)
        program.stop_requested.set()
        await program._shut_down(server)
        for response in await callers.read_responses():
            assert_refused(response)


@pytest.mark.parametrize('parts', [1, 2])
async def test_requests_in_socket_buffers_are_answered(port, parts, monkeypatch):
    program = create_program()
    async with program.exit_stack:
        server = program.serve_callers(Address(HOST, port))
        callers = Callers(port)
        middle = len(REQUEST) - 10 if parts == 2 else 0
        callers.send(REQUEST[:middle])
        finish_drain = program.entry.finish_drain

        async def receive_requests():
            await finish_drain()
            callers.send(REQUEST[middle:])

        monkeypatch.setattr(program.entry, 'finish_drain', receive_requests)
        program.stop_requested.set()
        await program._shut_down(server)
        for response in await callers.read_responses():
            assert_refused(response)


async def test_request_in_the_backlog_is_served_while_there_is_time(port, monkeypatch):
    program = create_program()
    async with program.exit_stack:
        server = program.serve_callers(Address(HOST, port))
        callers = Callers(port, 1)
        callers.send(REQUEST)

        async def complete(job):
            return JobResponse(JobResult.COMPLETED)

        monkeypatch.setattr(program.entry, 'submit', complete)
        program.stop_requested.set()
        await program._shut_down(server)
        (response,) = await callers.read_responses()
        assert response.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('request_part', [b'', REQUEST[:-1]])
async def test_caller_that_sends_no_complete_request_does_not_delay_the_exit(
    port, request_part
):
    program = create_program(programs.EXIT_MARGIN_S)
    async with program.exit_stack:
        server = program.serve_callers(Address(HOST, port))
        callers = Callers(port, 1)
        callers.send(request_part)
        # The remaining 0.2 s of the grace period are for the end of the process.
        async with asyncio.timeout(programs.EXIT_MARGIN_S - 0.2):
            await program._shut_down(server)
        assert await callers.read_responses() == [b'']
