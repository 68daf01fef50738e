"""The port of an agent on real sockets: a faulty peer costs no other entry its runs."""

import asyncio
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager

import msgspec
import pytest
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_core.metrics import Metrics
from endivetally_held.agent import HeldAgent
from endivetally_held.entry import HeldEntry
from endivetally_held.messages import MAX_BATCH_BYTES
from endivetally_held.messages import AgentHello
from endivetally_held.messages import EntryHello
from endivetally_held.metrics import EntryMetrics
from endivetally_http import ClientUsage
from endivetally_http import EventRefusalLog
from endivetally_policy.clients import ProcessLimits
from endivetally_standins.held_target import HeldTargetStandIn
from endivetally_standins.held_target import RunHistory
from endivetally_standins.held_target import StandInClientFactory
from held.cluster import CAPACITY
from held.cluster import NEED
from held.test_channel import HEADER
from held.test_channel import frame

HELLO = EntryHello('faulty.1', 'dc')


def encode(*messages):
    encoded = msgspec.msgpack.encode(list(messages))
    return HEADER.pack(len(encoded), 0, 0) + encoded


def start(**changes):
    fields = {
        'sequence': 1,
        'runs': [[['j', 0, 0], 1]],
        'payload': '',
        'need': [1600, 64],
        'expected_run_ms': 1,
        'latest_start_in_ms': 1,
        'expires_in_ms': 900,
        **changes,
    }
    return frame(HELLO) + encode(['start', *fields.values()])


MALFORMED = {
    'nothing': b'',
    'no header': b'\x00\x01',
    'http': b'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
    'too long': HEADER.pack(MAX_BATCH_BYTES + 1, 0, 0),
    'highest clocks': HEADER.pack(1, 2**64 - 1, 2**64 - 1) + b'\x90',
    'no list': HEADER.pack(1, 0, 0) + b'\x01',
    'no hello': encode(['alive']),
    'hello of an agent': frame(AgentHello('a.1', 'dc')),
    'unknown message': frame(HELLO) + encode(['reboot']),
    'numbers for texts': encode(['hello', 7, 8]),
    'no text': HEADER.pack(5, 0, 0) + b'\x91\x91\xa2\xff\xff',
    'nested': HEADER.pack(99_999, 0, 0) + b'\x91' * 99_999,
    'missing fields': frame(HELLO) + encode(['start', 1]),
    'sequence below 0': start(sequence=-1),
    'run number as text': start(runs=[[['j', 0, 0], '1']]),
    'endless deadline': start(expires_in_ms=2**63),
    'cpu as float': start(need=[1.5, 64]),
    'stop of no task': frame(HELLO) + encode(['stop', [[1]]]),
}


@asynccontextmanager
async def serve_agent(limits=None):
    """Yield an agent with a target, its event log and its address on loopback."""
    events = EventLog('test', 'test', write=lambda lines: None)
    usage = ClientUsage(limits or ProcessLimits(), EventRefusalLog(events))
    factory = StandInClientFactory()
    history = RunHistory(lambda task: 0.05, lambda task: NEED)
    target = HeldTargetStandIn('target-1', CAPACITY, history)
    factory.targets['target-1'] = target
    async with HeldAgent('agent.1', 'dc', factory, events, client_usage=usage) as agent:
        await agent.entry_server.listen(0, '127.0.0.1')
        (port,) = agent.entry_server.ports
        agent.apply_report(target.create_next_report())
        yield agent, events, Address('127.0.0.1', port)


async def connect_entry(stack, address):
    events = EventLog('test', 'test', write=lambda lines: None)
    entry = HeldEntry('entry.1', 'dc', events, EntryMetrics(Metrics(), 'dc'))
    await stack.enter_async_context(entry)
    entry.connections.set_agents({address})
    return entry, events


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def send(address, data):
    _, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(data)
    return writer


async def test_malformed_messages_cost_no_other_entry_its_connection():
    async with serve_agent() as (agent, events, address), AsyncExitStack() as stack:
        entry, entry_events = await connect_entry(stack, address)
        await wait_until(lambda: entry.connections.find_accepting_peers('pool'))
        writers = [await send(address, data) for data in MALFORMED.values()]
        await asyncio.sleep(1)
        assert [peer.incarnation for peer in agent.entry_server] == ['entry.1']
        assert entry.connections.find_accepting_peers('pool')
        assert entry_events.event_counts['agent_lost'] == 0
        assert events.event_counts['unexpected_error'] == 0
        assert agent.running_count == 0
        for writer in writers:
            writer.close()


@pytest.mark.parametrize('need', [[-1600, 64], [1600, -64], [-(2**62), 0]])
async def test_run_that_needs_less_than_nothing_gives_no_capacity(need):
    async with serve_agent() as (agent, events, address):
        await wait_until(lambda: agent._session.accepting)
        writer = await send(address, start(need=need))
        await asyncio.sleep(0.2)
        free = agent._session.reservations.free
        assert CAPACITY.covers(free)
        assert events.event_counts['run_refused'] == 1
        writer.close()


async def test_entry_waits_for_the_agent_at_an_address_where_another_one_answers():
    """A row of an agent that has left may hold the address of any other process."""

    async def answer(reader, writer):
        writer.write(frame(EntryHello('entry.2', 'dc')))
        await reader.read()
        writer.close()

    async with AsyncExitStack() as stack:
        stranger = await asyncio.start_server(answer, '127.0.0.1', 0)
        port = stranger.sockets[0].getsockname()[1]
        entry, _ = await connect_entry(stack, Address('127.0.0.1', port))
        await asyncio.sleep(0.5)
        assert not entry.connections.peers
        assert entry.unready_reason()
        stranger.close()
        agent = await stack.enter_async_context(serve_agent())
        await agent[0].entry_server.listen(port, '127.0.0.1')
        await wait_until(lambda: entry.connections.peers)
        assert list(entry.connections.peers) == ['agent.1']


async def test_connections_without_a_message_are_closed_for_new_ones():
    async with AsyncExitStack() as stack:
        # Four connections.
        limits = ProcessLimits(max_descriptors=216)
        agent, events, address = await stack.enter_async_context(serve_agent(limits))
        streams = [
            await asyncio.open_connection(address.host, address.port) for _ in range(20)
        ]
        _, newest = streams[-1]
        newest.write(frame(EntryHello('entry.9', 'dc')))
        await wait_until(lambda: agent.entry_server.find_entry('entry.9') is not None)
        assert len(agent.entry_server._channels) <= 4
        assert events.event_counts['client_refused'] == 1
        for _, each in streams:
            each.close()


async def test_incomplete_batches_keep_within_their_part_of_the_memory():
    async with AsyncExitStack() as stack:
        # An eighth of it is for incomplete batches.
        limits = ProcessLimits(memory_mb=8)
        _, events, address = await stack.enter_async_context(serve_agent(limits))
        part = HEADER.pack(900_000, 0, 0) + b'x' * 500_000
        streams = []
        for _ in range(4):
            stream = await asyncio.open_connection(address.host, address.port)
            streams.append(stream)
            stream[1].write(part)
        await wait_until(lambda: events.event_counts['client_refused'])
        for _, each in streams:
            each.close()


async def test_entry_keeps_its_connection_beside_a_flood_of_others():
    async with AsyncExitStack() as stack:
        limits = ProcessLimits(max_descriptors=216)
        agent, _, address = await stack.enter_async_context(serve_agent(limits))
        entry, _ = await connect_entry(stack, address)
        await wait_until(lambda: agent.entry_server.find_entry('entry.1') is not None)
        (peer,) = agent.entry_server
        for _ in range(20):
            await send(address, b'')
        assert agent.entry_server.find_entry('entry.1') is peer
        assert entry.connections.peers
