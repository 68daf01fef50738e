"""Tests of the client of the target, against the stand-in."""

import asyncio
import socket

import msgspec
import pytest
from endivetally_agent.target_client import TargetClient
from endivetally_core.joining import Announcement
from endivetally_core.messages import AttemptId
from endivetally_core.messages import Dispatch
from endivetally_standins.target import Faults
from endivetally_standins.target import TargetOptions
from endivetally_standins.target import TargetStandIn


def _dispatch(number, payload, deadline_ms=5000):
    name = AttemptId('entry-1.01', 1, number, 0)
    body = msgspec.json.encode(payload)
    return Dispatch(name, 'lookups', 'job', body, deadline_ms)


def _runner(port, connections=64):
    runner = TargetClient()
    runner.configure(Announcement('lookups', port, 8, connections, 1000))
    return runner


def _free_port():
    with socket.socket() as free:
        free.bind(('127.0.0.1', 0))
        return free.getsockname()[1]


@pytest.fixture
async def target():
    options = TargetOptions(f'127.0.0.1:{_free_port()}', 'lookups')
    async with TargetStandIn(options) as running:
        yield running


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
    async def test_ends(self, target, payload, faults, status, reason):
        target.set_faults(faults)
        runner = _runner(target.port)
        outcome = await runner.run(_dispatch(0, payload, 300))
        assert (outcome.status, outcome.reason) == (status, reason)
        assert target.stats.running == 0

    async def test_only_a_refused_connection_counts_as_not_started(self):
        outcome = await _runner(_free_port()).run(_dispatch(0, {}))
        assert (outcome.status, outcome.reason) == ('refused', 'closed')

    async def test_a_connection_that_ends_early_is_unknown(self):
        async def hang_up(_reader, writer):
            writer.close()

        server = await asyncio.start_server(hang_up, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            outcome = await _runner(port).run(_dispatch(0, {}))
        assert (outcome.status, outcome.reason) == ('unknown', 'connection_lost')

    async def test_connections_are_never_exceeded(self, target):
        runner = _runner(target.port, connections=2)
        tasks = [runner.run(_dispatch(number, {'run_ms': 20})) for number in range(6)]
        outcomes = await asyncio.gather(*tasks)
        assert {outcome.status for outcome in outcomes} == {'done'}
        assert target.stats.max_concurrent == 2


class TestRecord:
    async def test_each_start_is_a_line(self, tmp_path):
        options = TargetOptions(f'127.0.0.1:{_free_port()}', 'lookups')
        path = tmp_path / 'record.jsonl'
        with path.open('a') as record:
            async with TargetStandIn(options, record) as target:
                await _runner(target.port).run(_dispatch(3, {'id': 'case-7'}))
        line = msgspec.json.decode(path.read_bytes())
        assert line['task'] == 'entry-1.01/1/3/0'
        assert line['id'] == 'case-7'
        assert line['concurrent'] == 1
