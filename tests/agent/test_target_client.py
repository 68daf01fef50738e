"""Tests of the target client against a stand-in target."""

import asyncio
import socket

import msgspec
import pytest
from endivetally_agent import target_client
from endivetally_agent.target_client import TargetClient
from endivetally_core.joining import Announcement
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_standins.target import Faults
from endivetally_standins.target import TargetOptions
from endivetally_standins.target import TargetStandIn


def _dispatch(number, payload, deadline_ms=5000):
    attempt_id = AttemptId('entry-1.01', 1, number, 0)
    body = msgspec.json.encode(payload)
    return Dispatch(attempt_id, 'lookups', 'job', body, deadline_ms)


def _make_client(port, connections=64):
    client = TargetClient()
    client.configure(Announcement('lookups', port, 8, connections, 1000))
    return client


def _free_port():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@pytest.fixture
async def target():
    options = TargetOptions(f'127.0.0.1:{_free_port()}', 'lookups')
    async with TargetStandIn(options) as stand_in:
        yield stand_in


class TestRun:
    @pytest.mark.parametrize(
        ('payload', 'faults', 'status', 'reason'),
        [
            ({'echo': 1}, Faults(), 'done', ''),
            ({'fail': True}, Faults(), 'failed', 'status_500'),
            ({}, Faults(fail_all=True), 'failed', 'status_500'),
            ({}, Faults(hang=True), 'unknown', 'deadline'),
            ({'run_ms': 50}, Faults(slow_factor=100), 'unknown', 'deadline'),
        ],
    )
    async def test_the_outcome_tells_how_the_task_ended(
        self, target, payload, faults, status, reason
    ):
        target.set_faults(faults)
        client = _make_client(target.port)
        outcome = await client.run_task(_dispatch(0, payload, 300))
        assert (outcome.status, outcome.reason) == (status, reason)
        assert target.stats.running == 0

    async def test_only_a_refused_connection_counts_as_not_started(self):
        outcome = await _make_client(_free_port()).run_task(_dispatch(0, {}))
        assert (outcome.status, outcome.reason) == ('refused', 'closed')

    async def test_a_connection_closed_early_gives_an_unknown_outcome(self):
        async def close_at_once(_reader, writer):
            writer.close()

        server = await asyncio.start_server(close_at_once, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            outcome = await _make_client(port).run_task(_dispatch(0, {}))
        assert (outcome.status, outcome.reason) == ('unknown', 'connection_lost')

    async def test_the_connection_limit_is_never_exceeded(self, target):
        client = _make_client(target.port, connections=2)
        tasks = [
            client.run_task(_dispatch(number, {'run_ms': 20})) for number in range(6)
        ]
        outcomes = await asyncio.gather(*tasks)
        assert {outcome.status for outcome in outcomes} == {'done'}
        assert target.stats.max_concurrent == 2


class DeafTarget:
    """A target that never ends a run, and leaves its first cancellations unanswered.

    :param unanswered: number of cancellations that it does not answer.
    """

    def __init__(self, unanswered):
        self.running = 0
        self._unanswered = unanswered

    async def serve(self, reader, writer):
        request = await reader.readuntil(b'\r\n\r\n')
        if request.startswith(b'POST /run'):
            self.running += 1
        elif self._unanswered:
            self._unanswered -= 1
        else:
            self.running = 0
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        await reader.read()
        writer.close()


class TestCancellation:
    @pytest.mark.parametrize('unanswered', [0, 1, 2])
    async def test_a_run_has_not_ended_while_its_cancellation_is_unanswered(
        self, unanswered, monkeypatch
    ):
        monkeypatch.setattr(target_client, 'CANCEL_TIMEOUT_S', 0.1)
        target = DeafTarget(unanswered)
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            outcome = await _make_client(port).run_task(_dispatch(0, {}, 100))
        assert (outcome.status, outcome.reason) == ('unknown', 'deadline')
        assert target.running == 0


class TestStartRecord:
    async def test_each_start_is_recorded_as_one_line(self, tmp_path):
        options = TargetOptions(f'127.0.0.1:{_free_port()}', 'lookups')
        path = tmp_path / 'record.jsonl'
        with path.open('a') as record:
            async with TargetStandIn(options, record) as target:
                await _make_client(target.port).run_task(_dispatch(3, {'id': 'case-7'}))
        line = msgspec.json.decode(path.read_bytes())
        assert line['task'] == 'entry-1.01/1/3/0'
        assert line['id'] == 'case-7'
        assert line['concurrent'] == 1
