"""Token buckets, and quotas enforced across entries."""

import random

import pytest
from endivetally_policy.quotas import TeamQuotas
from endivetally_policy.quotas import TokenBucket

TEAM = 'a'
LIMIT = 300.0


class Entries:
    """Entries that exchange reports once a second.

    :param offered: requests a second that each entry receives.
    """

    def __init__(self, offered):
        self.offered = offered
        self.quotas = [TeamQuotas() for _ in offered]
        self.random = random.Random(1)
        for quotas in self.quotas:
            quotas.set_limits({TEAM: LIMIT}, 0)

    def run(self, first, last, partitioned=frozenset()):
        admitted = [0] * len(self.quotas)
        for second in range(first, last):
            for index, quotas in enumerate(self.quotas):
                admitted[index] += self.offer_load(quotas, self.offered[index], second)
            self.exchange_reports(second + 1, partitioned)
        return [count / (last - first) for count in admitted]

    def offer_load(self, quotas, rate, second):
        admitted = 0
        times = sorted(self.random.random() for _ in range(rate))
        for time in times:
            if quotas.request_wait_s(TEAM, 1, second + time) == 0:
                quotas.charge(TEAM, 1, second + time)
                admitted += 1
        return admitted

    def exchange_reports(self, now, partitioned):
        for sender, quotas in enumerate(self.quotas):
            quotas.rebalance(now)
            for receiver, other in enumerate(self.quotas):
                if sender != receiver and not partitioned & {sender, receiver}:
                    other.record_report(str(sender), quotas.demand, now)


class TestBucket:
    def test_rate_holds_after_the_burst(self):
        bucket = TokenBucket(10, 0)
        taken = 0
        for tick in range(1000):
            if bucket.wait_s(1, tick / 100) == 0:
                bucket.take(1, tick / 100)
                taken += 1
        assert taken == pytest.approx(10 * 10 + 10, abs=2)

    def test_debt_of_a_large_job_delays_the_next_request(self):
        bucket = TokenBucket(10, 0)
        assert bucket.wait_s(100, 0) == 0
        bucket.take(100, 0)
        assert bucket.wait_s(1, 0) == pytest.approx(9.1)
        assert bucket.wait_s(1, 9.2) == 0

    def test_clock_that_goes_back_adds_no_tokens(self):
        bucket = TokenBucket(10, 5)
        bucket.take(10, 5)
        assert bucket.wait_s(1, 4) == pytest.approx(0.1)


class TestAcrossEntries:
    @pytest.mark.parametrize(
        'offered',
        [
            [300, 300, 300],
            [900, 0, 0],
            [720, 135, 45],
            [1000, 30, 30, 30, 30],
            [100, 100, 100, 100, 100, 100, 100, 100],
        ],
        ids=['even', 'one', 'skewed', 'one heavy', 'eight'],
    )
    def test_total_rate_is_near_the_quota(self, offered):
        entries = Entries(offered)
        entries.run(0, 10)
        assert sum(entries.run(10, 40)) == pytest.approx(LIMIT, rel=0.1)

    def test_shares_follow_the_load(self):
        entries = Entries([900, 0, 0])
        entries.run(0, 20)
        entries.offered = [0, 0, 900]
        entries.run(20, 30)
        assert sum(entries.run(30, 50)) == pytest.approx(LIMIT, rel=0.1)

    def test_below_the_quota_nothing_is_refused(self):
        entries = Entries([150, 50, 20])
        entries.run(0, 10)
        assert sum(entries.run(10, 30)) == 220

    def test_partitioned_entry_keeps_an_equal_share(self):
        entries = Entries([900, 900, 900])
        entries.run(0, 10)
        entries.run(10, 15, partitioned={0})
        rates = entries.run(15, 30, partitioned={0})
        assert rates == pytest.approx([100, 100, 100], rel=0.1)

    def test_share_of_an_entry_that_left_goes_to_the_others(self):
        entries = Entries([900, 900])
        entries.run(0, 10)
        entries.quotas[0].remove_entry('1')
        entries.quotas[0].rebalance(11)
        assert entries.quotas[0].enforced_rate(TEAM) == LIMIT

    def test_idle_entry_keeps_a_quarter_of_an_equal_share(self):
        entries = Entries([900, 0])
        entries.run(0, 20)
        assert entries.quotas[1].enforced_rate(TEAM) >= LIMIT / 2 / 4
        assert entries.quotas[1].request_wait_s(TEAM, 1, 20) == 0


class TestLimits:
    def test_team_without_a_limit_is_admitted(self):
        assert TeamQuotas().request_wait_s('other', 1000, 0) == 0

    def test_removed_limit_no_longer_applies(self):
        quotas = TeamQuotas()
        quotas.set_limits({TEAM: 1}, 0)
        quotas.set_limits({}, 0)
        assert quotas.request_wait_s(TEAM, 1000, 0) == 0
