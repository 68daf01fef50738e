"""Tests of links over TCP connections on the loopback interface."""

import asyncio

import pytest
from endivetally_core.errors import LinkClosed
from endivetally_core.links import LinkCounters
from endivetally_core.links import LinkListener
from endivetally_core.links import NngLink
from endivetally_core.links import dial
from endivetally_core.messages import Grant
from endivetally_core.shaping import RuleShaper
from endivetally_core.shaping import ShapingRule


async def _connect_links(shaper=None):
    listener = LinkListener('127.0.0.1')
    counters = LinkCounters()
    dialled, accepted = await asyncio.gather(dial(listener.address), listener.accept())
    return [
        NngLink(
            socket,
            peer='peer-1',
            data_centre='dc-1',
            get_version=lambda: 7,
            counters=counters,
            shaper=shaper,
        )
        for socket in (dialled, accepted)
    ]


class TestNngLink:
    async def test_messages_posted_together_share_a_frame(self):
        local, remote = await _connect_links()
        local.post(Grant(1))
        local.post(Grant(2))
        frame = await remote.receive()
        assert frame.version == 7
        assert frame.messages == [Grant(1), Grant(2)]
        local.close()
        remote.close()

    async def test_close_closes_the_remote_side(self):
        local, remote = await _connect_links()
        local.close()
        with pytest.raises(LinkClosed):
            await remote.receive()
        assert remote.closed

    async def test_duplicate_rule_sends_each_frame_twice(self):
        shaper = RuleShaper()
        shaper.replace_rules((ShapingRule('peer-1', duplicate=True),))
        local, remote = await _connect_links(shaper)
        local.post(Grant(1))
        first = await remote.receive()
        second = await remote.receive()
        assert first == second
        local.close()
        remote.close()

    async def test_partition_holds_frames_in_order_until_it_ends(self):
        shaper = RuleShaper()
        shaper.replace_rules((ShapingRule('peer-1', cut=True),))
        local, remote = await _connect_links(shaper)
        local.post(Grant(1))
        receiver = asyncio.ensure_future(remote.receive())
        await asyncio.sleep(0.1)
        assert not receiver.done()
        local.post(Grant(2))
        shaper.replace_rules(())
        frames = [await receiver, await remote.receive()]
        assert [frame.messages for frame in frames] == [[Grant(1)], [Grant(2)]]
        local.close()
        remote.close()

    async def test_link_can_be_closed_during_a_partition(self):
        shaper = RuleShaper()
        shaper.replace_rules((ShapingRule('dc-1', cut=True),))
        local, remote = await _connect_links(shaper)
        local.post(Grant(1))
        await asyncio.sleep(0)
        local.close()
        await local.flush()
        remote.close()


class TestCancellation:
    async def test_cancelled_receive_on_a_closing_link_ends_as_cancelled(self):
        local, remote = await _connect_links()
        receiver = asyncio.ensure_future(local.receive())
        await asyncio.sleep(0.05)
        local.close()
        receiver.cancel()
        with pytest.raises(asyncio.CancelledError):
            await receiver
        remote.close()

    async def test_writer_cancelled_while_sending_ends(self):
        local, remote = await _connect_links()
        local.post(Grant(1))
        await asyncio.sleep(0)
        local._writer.cancel()
        await asyncio.wait([local._writer], timeout=5)
        assert local._writer.done()
        local.close()
        remote.close()


class TestDial:
    async def test_refused_connection_raises_link_closed(self):
        listener = LinkListener('127.0.0.1')
        address = listener.address
        listener._socket.close()
        with pytest.raises(LinkClosed):
            await dial(address)
