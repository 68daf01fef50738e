"""Tests of which entry gets the state of a target, and when."""

import asyncio
from types import SimpleNamespace

from endivetally_held.entry_server import EntryPeer
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import RunEnded
from endivetally_held.state_reporter import StateReporter
from endivetally_policy.held import RunEnd

ENDED = RunEnded(TaskKey('5c0e', 0, 1), 1, RunEnd.DONE, 120)


class Channel:
    """Records posted messages, in batches of one event loop iteration."""

    def __init__(self):
        self.batches = []
        self.outbox = []

    def post(self, message):
        if not self.outbox:
            asyncio.get_running_loop().call_soon(self.flush)
        self.outbox.append(message)

    def flush(self):
        self.batches.append(self.outbox)
        self.outbox = []


class Server(list):
    """The connected entries."""

    def find_entry(self, incarnation):
        found = [peer for peer in self if peer.incarnation == incarnation]
        return found[0] if found else None


def create_reporter(entries):
    server = Server(EntryPeer(f'entry-{n}', Channel()) for n in range(entries))
    target = SimpleNamespace(availability=('', False))
    reporter = StateReporter(
        server, lambda peer: target.availability, lambda: target.availability
    )
    return reporter, server, target


async def test_an_end_and_the_state_after_it_share_a_batch():
    reporter, server, _ = create_reporter(3)
    reporter.report_end('entry-1', ENDED)
    reporter.report_end('entry-1', ENDED)
    reporter.report_end('unknown', ENDED)
    reporter.mark_changed()
    await asyncio.sleep(0.01)
    assert [peer.channel.batches for peer in server] == [
        [],
        [[ENDED, ENDED, ('', False)]],
        [],
    ]
    assert [peer.state_outdated for peer in server] == [True, False, True]


async def test_the_others_get_the_state_with_the_next_tick_and_once():
    reporter, server, _ = create_reporter(2)
    reporter.report_end('entry-1', ENDED)
    reporter.mark_changed()
    await asyncio.sleep(0.01)
    for _ in range(3):
        reporter.send_outdated_states()
        await asyncio.sleep(0.01)
    assert [len(peer.channel.batches) for peer in server] == [1, 1]


async def test_a_change_of_the_availability_is_sent_at_once():
    reporter, server, target = create_reporter(2)
    target.availability = ('pool', True)
    reporter.mark_changed()
    await asyncio.sleep(0.01)
    assert [peer.channel.batches for peer in server] == [[[('pool', True)]]] * 2
    # Without another change: a target that has not responded for too long.
    target.availability = ('pool', False)
    reporter.send_outdated_states()
    await asyncio.sleep(0.01)
    assert [peer.channel.batches[1:] for peer in server] == [[[('pool', False)]]] * 2
