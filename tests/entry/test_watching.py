"""Tests of the choice of watched agents."""

from endivetally_core.identifiers import watchers_of
from endivetally_entry.watching import Watching

ENTRIES = ['entry-1.a', 'entry-2.b', 'entry-3.c', 'entry-4.d', 'entry-5.e']
AGENTS = {f'agent-{number}.x': f'agent-{number}' for number in range(20)}


class TestWatching:
    def test_each_agent_is_watched_by_the_entries_that_it_beats_to(self):
        for entry in ENTRIES:
            watched = Watching(entry).refresh(ENTRIES, AGENTS, 1)
            expected = {
                incarnation
                for incarnation, name in AGENTS.items()
                if entry in watchers_of(name, ENTRIES)
            }
            assert watched.keys() == expected

    def test_a_watch_that_is_taken_over_begins_anew(self):
        watching = Watching(ENTRIES[0])
        before = watching.refresh(ENTRIES, AGENTS, 1)
        after = watching.refresh(ENTRIES[:3], AGENTS, 9)
        assert after.keys() == AGENTS.keys()
        assert {after[name] for name in before} == {1}
        assert {after[name] for name in after.keys() - before.keys()} == {9}

    def test_a_lost_agent_is_forgotten(self):
        watching = Watching(ENTRIES[0])
        watching.refresh(ENTRIES[:1], AGENTS, 1)
        assert watching.refresh(ENTRIES[:1], {}, 2) == {}
