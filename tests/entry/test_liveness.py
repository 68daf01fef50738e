"""Tests of the notice of pauses."""

import pytest
from endivetally_entry.liveness import Pulse


class Clock:
    def __init__(self):
        self.now = 0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


class TestPulse:
    @pytest.mark.parametrize(
        ('beats', 'steady'),
        [((0.2, 0.4), True), ((0.2, 3), False), ((0.2, 3, 3.2), False)],
    )
    def test_a_gap_between_beats_is_a_doubt(self, clock, beats, steady):
        pulse = Pulse(clock)
        for clock.now in beats:
            pulse.beat()
        assert pulse.steady is steady

    def test_a_pause_counts_before_the_next_beat(self, clock):
        pulse = Pulse(clock)
        clock.now = 3
        assert not pulse.steady

    @pytest.mark.parametrize(('asked_at', 'steady'), [(2, False), (3, True)])
    def test_only_a_later_look_at_the_table_ends_a_doubt(self, clock, asked_at, steady):
        pulse = Pulse(clock)
        clock.now = 3
        pulse.beat()
        pulse.confirm(asked_at)
        assert pulse.steady is steady
