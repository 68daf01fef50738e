"""Tests of the channel between an entry and an agent: frames, silence, heartbeats."""

import asyncio
import struct

import pytest
from differential.clock import run_virtually
from endivetally_core.errors import LinkClosed
from endivetally_held.channel import HEARTBEAT_AFTER_S
from endivetally_held.channel import HEARTBEAT_CHECK_S
from endivetally_held.channel import MESSAGE_AGE_LIMIT_S
from endivetally_held.channel import PEER_TIMEOUT_S
from endivetally_held.channel import Channel
from endivetally_held.channel import ChannelHandler
from endivetally_held.messages import MAX_BATCH_BYTES
from endivetally_held.messages import Alive
from endivetally_held.messages import EntryHello
from endivetally_held.messages import StopRuns
from endivetally_held.messages import encode_batch

HELLO = EntryHello('entry-1.1', 'dc')


HEADER = struct.Struct('>IQQ')


def frame(*messages, sent_ms=0, echoed_ms=0):
    encoded = encode_batch(list(messages))
    return HEADER.pack(len(encoded), sent_ms, echoed_ms) + encoded


class Recorder(ChannelHandler):
    """Records the batches and the end of a channel."""

    def __init__(self, error=None):
        self.batches = []
        self.reasons = []
        self.error = error

    def channel_opened(self, channel):
        """Send nothing of its own."""

    def batch_received(self, channel, batch):
        if self.error is not None:
            raise self.error
        self.batches.append(batch)

    def channel_closed(self, channel, reason):
        self.reasons.append(reason)


class Transport(asyncio.Transport):
    """Records what is written."""

    def __init__(self):
        super().__init__()
        self.written = []
        self.buffered = 0
        self.aborted = False

    def write(self, data):
        self.written.append(data)

    def get_write_buffer_size(self):
        return self.buffered

    def abort(self):
        self.aborted = True


def run_with_channel(scenario, error=None, *, rejects_late=False):
    async def run():
        loop = asyncio.get_running_loop()
        handler, transport = Recorder(error), Transport()
        channel = Channel(handler, loop.time, rejects_late=rejects_late)
        channel.connection_made(transport)
        await scenario(channel, handler, transport)

    run_virtually(run())


@pytest.mark.parametrize('chunk_bytes', [1, 5, 10_000])
def test_batches_arrive_whole_and_in_order(chunk_bytes):
    async def scenario(channel, handler, transport):
        stream = frame(HELLO) + frame(Alive(), StopRuns([])) + frame(Alive())
        for start in range(0, len(stream), chunk_bytes):
            channel.data_received(stream[start : start + chunk_bytes])
        assert handler.batches == [[HELLO], [Alive(), StopRuns([])], [Alive()]]
        assert not channel.closed

    run_with_channel(scenario)


@pytest.mark.parametrize(
    ('data', 'reason'),
    [
        (HEADER.pack(MAX_BATCH_BYTES + 1, 0, 0), 'malformed'),
        (HEADER.pack(2, 0, 0) + b'\xc1\xc1', 'malformed'),
        (HEADER.pack(200_000, 0, 0) + b'\x91' * 200_000, 'malformed'),
    ],
    ids=['too large', 'no msgpack', 'nested'],
)
def test_a_malformed_batch_closes_the_channel_once(data, reason):
    async def scenario(channel, handler, transport):
        channel.data_received(data)
        channel.connection_lost(None)
        assert channel.closed
        assert transport.aborted
        assert len(handler.reasons) == 1
        assert handler.reasons[0].startswith(reason)

    run_with_channel(scenario)


def test_the_handler_may_close_the_channel():
    async def scenario(channel, handler, transport):
        channel.data_received(frame(Alive()) + frame(Alive()))
        assert handler.reasons == [str(LinkClosed('paused'))]

    run_with_channel(scenario, LinkClosed('paused'))


@pytest.mark.parametrize(
    ('pause_s', 'received'), [(PEER_TIMEOUT_S - 0.01, 1), (PEER_TIMEOUT_S + 0.01, 0)]
)
def test_a_batch_after_the_timeout_is_never_handled(pause_s, received):
    async def scenario(channel, handler, transport):
        # The first part of a batch is no sign of life.
        whole = frame(Alive())
        await asyncio.sleep(pause_s / 2)
        channel.data_received(whole[:-1])
        await asyncio.sleep(pause_s / 2)
        channel.data_received(whole[-1:])
        assert len(handler.batches) == received
        assert channel.closed is not bool(received)

    run_with_channel(scenario)


@pytest.mark.parametrize(
    ('rejects_late', 'age_s', 'received'),
    [
        (True, MESSAGE_AGE_LIMIT_S - 0.01, True),
        (True, MESSAGE_AGE_LIMIT_S + 0.01, False),
        (False, MESSAGE_AGE_LIMIT_S + 0.01, True),
    ],
)
def test_a_batch_beyond_the_age_limit_is_never_handled(rejects_late, age_s, received):
    async def scenario(channel, handler, transport):
        # The peer repeats the same time, so that its batches seem to get older.
        for step in range(4):
            echoed_ms = 250 if step else 0
            channel.data_received(frame(Alive(), echoed_ms=echoed_ms))
            await asyncio.sleep((0.25 + age_s) / 4)
        channel.data_received(frame(HELLO, echoed_ms=250))
        assert ([HELLO] in handler.batches) is received
        assert channel.closed is not received

    run_with_channel(scenario, rejects_late=rejects_late)


def test_a_batch_returns_the_newest_time_of_the_peer():
    async def scenario(channel, handler, transport):
        await asyncio.sleep(0.1)
        channel.data_received(frame(Alive(), sent_ms=70) + frame(Alive(), sent_ms=71))
        channel.post(HELLO)
        await asyncio.sleep(0)
        assert transport.written == [frame(HELLO, sent_ms=100, echoed_ms=71)]

    run_with_channel(scenario)


def test_messages_of_one_iteration_share_a_batch():
    async def scenario(channel, handler, transport):
        channel.post(HELLO)
        channel.post(Alive())
        await asyncio.sleep(0)
        assert transport.written == [frame(HELLO, Alive())]

    run_with_channel(scenario)


def test_a_peer_hears_something_well_within_the_timeout():
    async def scenario(channel, handler, transport):
        written_at = [0]
        for step in range(100):
            await asyncio.sleep(HEARTBEAT_CHECK_S)
            if step in {10, 11, 33}:
                channel.post(HELLO)
                await asyncio.sleep(0)
            before = len(transport.written)
            channel.send_heartbeat()
            if step in {10, 11, 33}:
                assert len(transport.written) == before
            if len(transport.written) > before or step in {10, 11, 33}:
                written_at.append(asyncio.get_running_loop().time())
        gaps = [b - a for a, b in zip(written_at, written_at[1:], strict=False)]
        assert max(gaps) <= HEARTBEAT_AFTER_S + HEARTBEAT_CHECK_S + 0.001
        assert max(gaps) < PEER_TIMEOUT_S / 2
        assert len(transport.written) < 60

    run_with_channel(scenario)


def test_a_peer_that_does_not_read_is_disconnected():
    async def scenario(channel, handler, transport):
        transport.buffered = MAX_BATCH_BYTES + 1
        channel.post(Alive())
        await asyncio.sleep(0)
        assert handler.reasons == ['write buffer full']
        channel.post(Alive())
        channel.send_heartbeat()
        await asyncio.sleep(1)
        assert len(transport.written) == 1

    run_with_channel(scenario)
