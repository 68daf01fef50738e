"""Tests of links over real loopback connections."""

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


async def _connected_links(shaper=None):
    listener = LinkListener('127.0.0.1')
    counters = LinkCounters()
    dialled, accepted = await asyncio.gather(dial(listener.address), listener.accept())
    return [
        NngLink(
            socket,
            peer='peer-1',
            data_centre='dc-1',
            version=lambda: 7,
            counters=counters,
            shaper=shaper,
        )
        for socket in (dialled, accepted)
    ]


class TestNngLink:
    async def test_messages_of_one_turn_share_a_frame(self):
        near, far = await _connected_links()
        near.post(Grant(1))
        near.post(Grant(2))
        frame = await far.receive()
        assert frame.version == 7
        assert frame.messages == [Grant(1), Grant(2)]
        near.close()
        far.close()

    async def test_close_ends_the_other_side(self):
        near, far = await _connected_links()
        near.close()
        with pytest.raises(LinkClosed):
            await far.receive()
        assert far.closed

    async def test_duplicate_rule_sends_twice(self):
        shaper = RuleShaper()
        shaper.replace_rules((ShapingRule('peer-1', duplicate=True),))
        near, far = await _connected_links(shaper)
        near.post(Grant(1))
        first = await far.receive()
        second = await far.receive()
        assert first == second
        near.close()
        far.close()

    async def test_a_cut_holds_frames_in_order_until_it_ends(self):
        shaper = RuleShaper()
        shaper.replace_rules((ShapingRule('peer-1', cut=True),))
        near, far = await _connected_links(shaper)
        near.post(Grant(1))
        receiver = asyncio.ensure_future(far.receive())
        await asyncio.sleep(0.1)
        assert not receiver.done()
        near.post(Grant(2))
        shaper.replace_rules(())
        frames = [await receiver, await far.receive()]
        assert [frame.messages for frame in frames] == [[Grant(1)], [Grant(2)]]
        near.close()
        far.close()

    async def test_a_cut_link_can_be_closed(self):
        shaper = RuleShaper()
        shaper.replace_rules((ShapingRule('dc-1', cut=True),))
        near, far = await _connected_links(shaper)
        near.post(Grant(1))
        await asyncio.sleep(0)
        near.close()
        await near.flush()
        far.close()


class TestCancellation:
    async def test_a_receiver_of_a_closing_link_ends_as_cancelled(self):
        near, far = await _connected_links()
        receiver = asyncio.ensure_future(near.receive())
        await asyncio.sleep(0.05)
        near.close()
        receiver.cancel()
        with pytest.raises(asyncio.CancelledError):
            await receiver
        far.close()

    async def test_a_writer_that_is_cancelled_while_it_sends_ends(self):
        near, far = await _connected_links()
        near.post(Grant(1))
        await asyncio.sleep(0)
        near._writer.cancel()
        await asyncio.wait([near._writer], timeout=5)
        assert near._writer.done()
        near.close()
        far.close()


class TestDial:
    async def test_refused(self):
        listener = LinkListener('127.0.0.1')
        address = listener.address
        listener._socket.close()
        with pytest.raises(LinkClosed):
            await dial(address)
