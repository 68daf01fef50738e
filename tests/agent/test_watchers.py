"""Tests of heartbeats, probes and the detection of silent entries."""

import pytest
from endivetally_agent.agent import Agent
from endivetally_agent.link_registry import LinkRegistry
from endivetally_agent.slots import SlotAllocator
from endivetally_agent.watchers import HEARTBEATS_PER_PROBE
from endivetally_agent.watchers import PAUSE_THRESHOLD_S
from endivetally_agent.watchers import PROBE_AFTER_SILENCE_S
from endivetally_agent.watchers import PROBE_TIMEOUT_S
from endivetally_agent.watchers import HeartbeatManager
from endivetally_config.settings import AgentSettings
from endivetally_core.identifiers import WATCHERS_PER_AGENT
from endivetally_core.identifiers import select_watchers
from endivetally_core.joining import Address
from endivetally_core.joining import Announcement
from endivetally_core.messages import AgentState
from endivetally_core.messages import EntryNews
from endivetally_core.wire import WatchRequest

from .fake_entry import FakeEntry

ANNOUNCEMENT = Announcement('lookups', 9, 8, 64, 1000)
ENTRIES = [f'entry-{number}.01' for number in range(6)]


class FakeLink:
    def __init__(self):
        self.closed = False
        self.posted = []

    def post(self, message):
        self.posted.append(message.watch)

    def close(self):
        self.closed = True


class FakeTasks:
    state = AgentState('open', 0, 8)

    def __init__(self):
        self.allocator = SlotAllocator()


class Deployment:
    def __init__(self, entries):
        self.now = 0.0
        self.links = LinkRegistry(lambda: self.now)
        self.tasks = FakeTasks()
        self.heartbeats = HeartbeatManager(
            'a-1', self.links, self.tasks, lambda: self.now
        )
        self.link_by_entry = {}
        for entry in entries:
            self.add_link(entry)

    def add_link(self, entry):
        self.link_by_entry[entry] = FakeLink()
        self.links.add(entry, self.link_by_entry[entry])

    def send_heartbeats(self, seconds=1, responding=()):
        self.now += seconds
        for entry in responding:
            self.links.record_received(entry)
        for link in self.link_by_entry.values():
            link.posted.clear()
        self.heartbeats.send_heartbeats()

    def entries_sent(self, watch):
        return {
            entry for entry, link in self.link_by_entry.items() if watch in link.posted
        }

    def watchers(self):
        return self.entries_sent(WatchRequest.START) | self.entries_sent(
            WatchRequest.START_AND_PROBE
        )

    def closed_links(self):
        return {entry for entry, link in self.link_by_entry.items() if link.closed}


class TestHeartbeats:
    @pytest.mark.parametrize(
        ('entries', 'watched'), [(1, 1), (2, 2), (6, WATCHERS_PER_AGENT)]
    )
    def test_the_number_of_watchers_is_limited_and_stable(self, entries, watched):
        deployment = Deployment(ENTRIES[:entries])
        deployment.send_heartbeats()
        assert len(deployment.watchers()) == watched
        first = deployment.watchers()
        assert first == set(select_watchers('a-1', ENTRIES[:entries]))
        deployment.send_heartbeats()
        assert deployment.watchers() == first

    def test_an_entry_that_is_no_longer_a_watcher_is_notified_once(self):
        deployment = Deployment(ENTRIES[:3])
        deployment.send_heartbeats()
        former = deployment.watchers()
        for entry in ENTRIES[3:]:
            deployment.add_link(entry)
        deployment.send_heartbeats()
        assert len(deployment.watchers()) == WATCHERS_PER_AGENT
        removed = former - deployment.watchers()
        assert removed
        assert deployment.entries_sent(WatchRequest.STOP) == removed
        deployment.send_heartbeats()
        assert not deployment.entries_sent(WatchRequest.STOP)


class TestSilence:
    def test_only_the_links_of_silent_watchers_are_closed(self):
        deployment = Deployment(ENTRIES)
        deployment.send_heartbeats()
        silent, *others = sorted(deployment.watchers())
        for _ in range(PROBE_TIMEOUT_S + 2 * HEARTBEATS_PER_PROBE):
            deployment.send_heartbeats(responding=others)
        assert deployment.closed_links() == {silent}

    def test_no_link_is_closed_right_after_a_pause_of_the_agent(self):
        deployment = Deployment(ENTRIES)
        deployment.send_heartbeats()
        deployment.send_heartbeats(seconds=PAUSE_THRESHOLD_S + PROBE_TIMEOUT_S)
        assert not deployment.closed_links()

    @pytest.mark.parametrize('responds', [True, False])
    def test_a_silent_entry_with_unused_credits_and_waiting_tasks_is_probed(
        self, responds
    ):
        deployment = Deployment(ENTRIES)
        deployment.send_heartbeats()
        watchers = deployment.watchers()
        holder = next(entry for entry in ENTRIES if entry not in watchers)
        deployment.tasks.allocator.add_entry(holder)
        deployment.tasks.allocator.record_demand(holder, 10)
        deployment.tasks.allocator.set_slots(8)
        responding = {*watchers, holder} if responds else watchers
        probed = set()
        for _ in range(PROBE_AFTER_SILENCE_S + PROBE_TIMEOUT_S + 2):
            deployment.send_heartbeats(responding=watchers)
            probed |= deployment.entries_sent(WatchRequest.PROBE)
            for entry in responding:
                deployment.links.record_received(entry)
        assert probed == (set() if responds else {holder})
        assert deployment.closed_links() == (set() if responds else {holder})


class TestReportedEntries:
    async def test_an_agent_joins_an_entry_that_another_entry_reports(
        self, monkeypatch
    ):
        monkeypatch.setattr('endivetally_agent.peers.JOIN_JITTER_S', 0)
        async with FakeEntry('entry-1') as first, FakeEntry('entry-2') as second:
            settings = AgentSettings(
                'agent-1',
                'dc-1',
                'rack-1',
                Address('127.0.0.1', 0),
                Address('127.0.0.1', 1),
                seeds=(first.address,),
            )
            async with Agent(settings) as agent:
                agent.apply_announcement(ANNOUNCEMENT)
                await first.wait_until_linked()
                first.link.post(EntryNews(['no address', str(second.address)]))
                first.link.post(EntryNews([str(second.address)]))
                await second.wait_until_linked()
