"""Tests of the heartbeats to entries and of silent ones."""

import pytest
from endivetally_agent.agent import Agent
from endivetally_agent.registry import LinkRegistry
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
        self.link_of = {}
        for entry in entries:
            self.link(entry)

    def link(self, entry):
        self.link_of[entry] = FakeLink()
        self.links.add(entry, self.link_of[entry])

    def beat(self, seconds=1, heard=()):
        self.now += seconds
        for entry in heard:
            self.links.record_received(entry)
        for link in self.link_of.values():
            link.posted.clear()
        self.heartbeats.send_heartbeats()

    def posted(self, watch):
        return {entry for entry, link in self.link_of.items() if watch in link.posted}

    def watching(self):
        return self.posted(WatchRequest.START) | self.posted(
            WatchRequest.START_AND_PROBE
        )

    def closed(self):
        return {entry for entry, link in self.link_of.items() if link.closed}


class TestHeartbeats:
    @pytest.mark.parametrize(
        ('entries', 'watched'), [(1, 1), (2, 2), (6, WATCHERS_PER_AGENT)]
    )
    def test_a_few_entries_watch_whatever_their_number(self, entries, watched):
        deployment = Deployment(ENTRIES[:entries])
        deployment.beat()
        assert len(deployment.watching()) == watched
        first = deployment.watching()
        assert first == set(select_watchers('a-1', ENTRIES[:entries]))
        deployment.beat()
        assert deployment.watching() == first

    def test_an_entry_that_stops_watching_is_told_once(self):
        deployment = Deployment(ENTRIES[:3])
        deployment.beat()
        former = deployment.watching()
        for entry in ENTRIES[3:]:
            deployment.link(entry)
        deployment.beat()
        assert len(deployment.watching()) == WATCHERS_PER_AGENT
        demoted = former - deployment.watching()
        assert demoted
        assert deployment.posted(WatchRequest.STOP) == demoted
        deployment.beat()
        assert not deployment.posted(WatchRequest.STOP)


class TestSilence:
    def test_only_silent_watchers_lose_their_link(self):
        deployment = Deployment(ENTRIES)
        deployment.beat()
        silent, *others = sorted(deployment.watching())
        for _ in range(PROBE_TIMEOUT_S + 2 * HEARTBEATS_PER_PROBE):
            deployment.beat(heard=others)
        assert deployment.closed() == {silent}

    def test_silence_is_forgiven_after_a_pause_of_the_agent(self):
        deployment = Deployment(ENTRIES)
        deployment.beat()
        deployment.beat(seconds=PAUSE_THRESHOLD_S + PROBE_TIMEOUT_S)
        assert not deployment.closed()

    @pytest.mark.parametrize('answers', [True, False])
    def test_an_entry_that_holds_credits_in_need_is_probed(self, answers):
        deployment = Deployment(ENTRIES)
        deployment.beat()
        watchers = deployment.watching()
        holder = next(entry for entry in ENTRIES if entry not in watchers)
        deployment.tasks.allocator.add_entry(holder)
        deployment.tasks.allocator.record_demand(holder, 10)
        deployment.tasks.allocator.set_slots(8)
        heard = {*watchers, holder} if answers else watchers
        probed = set()
        for _ in range(PROBE_AFTER_SILENCE_S + PROBE_TIMEOUT_S + 2):
            deployment.beat(heard=watchers)
            probed |= deployment.posted(WatchRequest.PROBE)
            for entry in heard:
                deployment.links.record_received(entry)
        assert probed == (set() if answers else {holder})
        assert deployment.closed() == (set() if answers else {holder})


class TestNews:
    async def test_an_agent_joins_an_entry_that_it_is_told_of(self, monkeypatch):
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
                await first.linked()
                first.link.post(EntryNews(['no address', str(second.address)]))
                first.link.post(EntryNews([str(second.address)]))
                await second.linked()
