"""Which incomplete requests are refused when all of them hold too much."""

from abc import ABC
from abc import abstractmethod

import pytest
from endivetally_policy.clients import IncompleteRequests
from endivetally_policy.clients.incomplete import ARRIVAL_S
from endivetally_policy.clients.incomplete import MIN_BYTES_PER_S

LIMIT = 1000


def collect(*requests):
    """Return requests of a size that began at a time."""
    incomplete = IncompleteRequests(LIMIT)
    for key, size, began_at in requests:
        incomplete.add(key, size, began_at)
    return incomplete


@pytest.mark.parametrize(
    ('requests', 'victims'),
    [
        ([('a', 500, 0), ('b', 500, 1)], []),
        ([('large', 900, 1), ('small', 200, 1)], ['large']),
        ([('old', 600, 0), ('new', 600, 9)], ['old']),
        (
            [('new and large', 900, 9.9), ('old and small', 150, 0)],
            ['old and small', 'new and large'],
        ),
        (
            [(number, 100, number) for number in range(9)] + [('last', 300, 9)],
            [0, 1, 2, 3],
        ),
    ],
    ids=['within', 'largest', 'oldest', 'occupancy', 'several'],
)
def test_requests_that_held_most_memory_for_longest_are_evicted(requests, victims):
    assert collect(*requests).select_victims(10) == victims


def test_bytes_are_released():
    incomplete = collect(('a', 900, 0), ('b', 200, 0))
    assert incomplete.is_full
    incomplete.remove('a')
    incomplete.remove('unknown')
    assert not incomplete.is_full
    assert (incomplete.total_bytes, incomplete.size('a'), len(incomplete)) == (
        200,
        0,
        1,
    )
    assert 'b' in incomplete


@pytest.mark.parametrize(
    ('size', 'age_s', 'overdue'),
    [
        (1, ARRIVAL_S, False),
        (1, ARRIVAL_S + 1, True),
        (10 * MIN_BYTES_PER_S, ARRIVAL_S + 9, False),
        (10 * MIN_BYTES_PER_S, ARRIVAL_S + 11, True),
    ],
)
def test_request_has_the_time_that_its_bytes_take_on_a_slow_link(size, age_s, overdue):
    incomplete = collect(('a', size, 0))
    assert incomplete.find_overdue(age_s) == (['a'] if overdue else [])


class Overflow(ABC):
    """What happens when the memory for incomplete requests is full."""

    @abstractmethod
    def refuses_new(self, incomplete):
        """Return whether the bytes that have just arrived are refused."""

    @abstractmethod
    def select_victims(self, incomplete, now):
        """Return the requests to refuse."""


class Evicting(Overflow):
    """Refuses the requests that held most for longest, as the product does."""

    def refuses_new(self, incomplete):
        return False

    def select_victims(self, incomplete, now):
        return incomplete.select_victims(now)


class Refusing(Overflow):
    """Refuses what arrives."""

    def refuses_new(self, incomplete):
        return incomplete.is_full

    def select_victims(self, incomplete, now):
        return []


class Play:
    """A crowd whose requests never end, beside one sound request a second.

    :ivar served: number of sound requests that arrived completely.
    """

    def __init__(self, overflow):
        self.overflow = overflow
        self.incomplete = IncompleteRequests(1_000_000)
        self.served = 0

    def receive(self, key, size, now):
        if not self.overflow.refuses_new(self.incomplete):
            self.incomplete.add(key, size, now)

    def evict(self, now):
        for key in self.overflow.select_victims(self.incomplete, now):
            self.incomplete.remove(key)

    def play_second(self, second, hostile_bytes_per_s, sound_size):
        for step in range(10):
            now = second + step / 10
            for client in range(50):
                self.receive(('hostile', client), hostile_bytes_per_s // 10, now)
            self.evict(now)
        for now in (second + 0.95, second + 0.96):
            self.receive('sound', sound_size // 2, now)
            self.evict(now)
        self.served += self.incomplete.size('sound') == sound_size
        self.incomplete.remove('sound')


def count_served(overflow, hostile_bytes_per_s, sound_size):
    """Return the sound requests of a minute that arrived completely."""
    play = Play(overflow)
    for second in range(60):
        play.play_second(second, hostile_bytes_per_s, sound_size)
    return play.served


@pytest.mark.parametrize('hostile_bytes_per_s', [200, 2000, 100_000])
@pytest.mark.parametrize('sound_size', [600, 100_000])
def test_sound_requests_are_served_beside_a_crowd_that_never_ends(
    hostile_bytes_per_s, sound_size
):
    assert count_served(Evicting(), hostile_bytes_per_s, sound_size) == 60


def test_refusing_what_arrives_would_refuse_sound_requests():
    assert count_served(Refusing(), 2000, 600) < 60
