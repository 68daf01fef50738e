"""Tests of the detection of pauses that may have led to a takeover."""

import pytest
from endivetally_entry.liveness import LivenessMonitor


class Clock:
    def __init__(self):
        self.now = 0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


class TestLivenessMonitor:
    @pytest.mark.parametrize(
        ('ticks', 'confirmed'),
        [((0.2, 0.4), True), ((0.2, 3), False), ((0.2, 3, 3.2), False)],
    )
    def test_liveness_is_unconfirmed_after_a_gap_between_ticks(
        self, clock, ticks, confirmed
    ):
        monitor = LivenessMonitor(clock, lambda: False)
        for clock.now in ticks:
            monitor.record_tick()
        assert monitor.liveness_confirmed is confirmed

    def test_a_pause_is_noticed_before_the_next_tick(self, clock):
        monitor = LivenessMonitor(clock, lambda: False)
        clock.now = 3
        assert not monitor.liveness_confirmed

    @pytest.mark.parametrize(('queried_at', 'confirmed'), [(2, False), (3, True)])
    def test_only_a_query_after_the_pause_confirms_liveness(
        self, clock, queried_at, confirmed
    ):
        monitor = LivenessMonitor(clock, lambda: False)
        clock.now = 3
        monitor.record_tick()
        monitor.confirm_liveness(queried_at)
        assert monitor.liveness_confirmed is confirmed

    def test_liveness_is_unconfirmed_while_cut_off_and_until_a_later_query(self, clock):
        cut_off = [True]
        monitor = LivenessMonitor(clock, lambda: bool(cut_off))
        assert not monitor.liveness_confirmed
        for clock.now in (1, 2):
            monitor.record_tick()
        cut_off.clear()
        monitor.confirm_liveness(1.9)
        assert not monitor.liveness_confirmed
        monitor.confirm_liveness(2)
        assert monitor.liveness_confirmed

    def test_liveness_is_unconfirmed_after_news_until_a_later_query(self, clock):
        monitor = LivenessMonitor(clock, lambda: False)
        clock.now = 1
        monitor.record_tick()
        monitor.mark_uncertain()
        monitor.confirm_liveness(0.9)
        assert not monitor.liveness_confirmed
        monitor.confirm_liveness(1)
        assert monitor.liveness_confirmed
