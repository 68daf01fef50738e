"""Quotas of teams, enforced across entries without writes to the table.

Each entry reports once a second how many task starts each team requested from it.
All entries compute the same max-min fair split of a team's rate from these
reports, and each enforces its own share.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

# Age in seconds from which a report is ignored and the demand counts as unknown.
_MAX_REPORT_AGE_S: Final = 3.0
# Weight of the newest measurement in the moving average of the demand.
_SMOOTHING: Final = 0.4
# A full bucket holds the tokens of this many seconds.
_BURST_S: Final = 1.0
# An entry enforces at least this part of an equal share, whatever its demand, so
# that a team may start to use another entry at once.
_MIN_EQUAL_SHARE: Final = 0.25
# Minimum rate of a bucket, in task starts a second; it must be above 0.
_MIN_RATE: Final = 0.1
_UNKNOWN_DEMAND: Final = float('inf')


class TokenBucket:
    """Token bucket whose balance may become negative.

    A full bucket admits a request of any size, since a job larger than the burst
    could never start otherwise. The debt is refilled before the next request.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = self.burst
        self._updated_at = now

    @property
    def rate(self) -> float:
        """Tokens added per second."""
        return self._rate

    @property
    def burst(self) -> float:
        """Maximum number of tokens that the bucket holds."""
        return max(1, self._rate * _BURST_S)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; tokens above the new burst are lost."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self.burst)

    def wait_s(self, count: int, now: float) -> float:
        """Return the seconds until a request is admitted.

        :param count: number of tokens that the request needs.
        """
        self._refill(now)
        missing = min(count, self.burst) - self._tokens
        return max(0, missing / self._rate)

    def take(self, count: int, now: float) -> None:
        """Take tokens; the balance becomes negative if the bucket holds fewer."""
        self._refill(now)
        self._tokens -= count

    def _refill(self, now: float) -> None:
        added = max(0, now - self._updated_at) * self._rate
        self._tokens = min(self.burst, self._tokens + added)
        self._updated_at = max(now, self._updated_at)


@dataclass(frozen=True, slots=True)
class _Report:
    """Demand by team that another entry reported, in task starts a second."""

    received_at: float
    demand: Mapping[str, float]


class TeamQuotas:
    """This entry's share of the teams' quotas."""

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._reports: dict[str, _Report] = {}
        self._requested: Counter[str] = Counter()
        self._demand: dict[str, float] = {}
        self._measured_at: float | None = None

    @property
    def demand(self) -> dict[str, float]:
        """Task starts a second requested by each team, to report to other entries."""
        return {team: rate for team, rate in self._demand.items() if rate > 0}

    def set_limits(self, limits: Mapping[str, float], now: float) -> None:
        """Set the limits of the teams, in task starts a second."""
        self._limits = dict(limits)
        for team in set(self._buckets).difference(limits):
            self._buckets.pop(team)
        self._update_rates(now)

    def record_report(
        self, entry: str, demand: Mapping[str, float], now: float
    ) -> None:
        """Record the demand by team that another entry reported."""
        self._reports[entry] = _Report(now, dict(demand))

    def remove_entry(self, entry: str) -> None:
        """Exclude an entry that left or was fenced from the split."""
        self._reports.pop(entry, None)

    def rebalance(self, now: float) -> None:
        """Measure the demand at this entry and recompute its shares, once a second."""
        if self._measured_at is not None and now > self._measured_at:
            self._measure_demand(now - self._measured_at)
        self._measured_at = now
        self._update_rates(now)

    def request_wait_s(self, team: str, count: int, now: float) -> float:
        """Add a request to the demand and return the seconds until it is admitted.

        Requests of a team without a limit are always admitted.
        """
        self._requested[team] += count
        bucket = self._buckets.get(team)
        return 0 if bucket is None else bucket.wait_s(count, now)

    def charge(self, team: str, count: int, now: float) -> None:
        """Charge an admitted request to the quota of its team."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.take(count, now)

    def enforced_rate(self, team: str) -> float:
        """Return this entry's share of a team's rate, in task starts a second."""
        return self._buckets[team].rate

    def _measure_demand(self, elapsed_s: float) -> None:
        for team in self._limits:
            requested = self._requested[team] / elapsed_s
            average = self._demand.get(team, requested)
            self._demand[team] = average + _SMOOTHING * (requested - average)
        self._requested.clear()

    def _update_rates(self, now: float) -> None:
        for team, limit in self._limits.items():
            rate = max(_MIN_RATE, self._own_share(team, limit, now))
            bucket = self._buckets.setdefault(team, TokenBucket(rate, now))
            bucket.set_rate(rate, now)

    def _own_share(self, team: str, limit: float, now: float) -> float:
        others = [
            self._reported_demand(report, team, now)
            for report in self._reports.values()
        ]
        own = self._demand.get(team, 0)
        equal = limit / (len(others) + 1)
        share = max_min_share(limit, own, others)
        return max(share, equal * _MIN_EQUAL_SHARE)

    def _reported_demand(self, report: _Report, team: str, now: float) -> float:
        if now - report.received_at > _MAX_REPORT_AGE_S:
            return _UNKNOWN_DEMAND
        return report.demand.get(team, 0)


def max_min_share(limit: float, own: float, others: list[float]) -> float:
    """Return the share of one entry in a max-min fair split of a limit.

    If the limit exceeds the sum of the demands, the rest is split equally.

    :param own: demand at the entry.
    :param others: demands of the other entries.

    >>> max_min_share(90, 80, [80, 10])
    40.0
    >>> max_min_share(90, 30, [15, 15])
    40.0
    """
    left = limit
    demands = sorted([own, *others])
    for index, demand in enumerate(demands):
        equal_part = left / (len(demands) - index)
        if demand > equal_part:
            return min(own, equal_part)
        left -= demand
    return own + left / len(demands)
