"""Quotas of teams, held across entries without writes to the table.

Each entry reports once a second how many task starts each team asked it for.
From the same reports every entry works out the same max-min fair split of a
team's rate and enforces its own part.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

_REPORT_LIFETIME_S: Final = 3.0
_SMOOTHING: Final = 0.4
_BURST_S: Final = 1.0
_FLOOR_SHARE: Final = 0.25
_LEAST_RATE: Final = 0.1
_UNKNOWN_DEMAND: Final = float('inf')


class TokenBucket:
    """Token bucket that goes into debt for a take above its burst.

    A full bucket admits a take of any size, so that a job larger than the burst
    is possible; the debt is paid before the next one.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = self.burst
        self._updated_at = now

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return self._rate

    @property
    def burst(self) -> float:
        """Largest number of tokens saved up."""
        return max(1, self._rate * _BURST_S)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._refill(now)
        self._rate = rate
        self._tokens = min(self._tokens, self.burst)

    def wait_s(self, count: int, now: float) -> float:
        """Return the seconds until a take of this size is admitted."""
        self._refill(now)
        missing = min(count, self.burst) - self._tokens
        return max(0, missing / self._rate)

    def take(self, count: int, now: float) -> None:
        """Take tokens, into debt if need be."""
        self._refill(now)
        self._tokens -= count

    def _refill(self, now: float) -> None:
        gained = max(0, now - self._updated_at) * self._rate
        self._tokens = min(self.burst, self._tokens + gained)
        self._updated_at = max(now, self._updated_at)


@dataclass(frozen=True, slots=True)
class _Report:
    received_at: float
    demand: Mapping[str, float]


class TeamQuotas:
    """This entry's part of the teams' quotas."""

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._reports: dict[str, _Report] = {}
        self._asked: Counter[str] = Counter()
        self._demand: dict[str, float] = {}
        self._ticked_at: float | None = None

    @property
    def demand(self) -> dict[str, float]:
        """Task starts a second asked for per team, to report to other entries."""
        return {team: rate for team, rate in self._demand.items() if rate > 0}

    def set_limits(self, limits: Mapping[str, float], now: float) -> None:
        """Put the teams' task starts a second in force."""
        self._limits = dict(limits)
        for team in set(self._buckets).difference(limits):
            self._buckets.pop(team)
        self._split(now)

    def record_report(
        self, entry: str, demand: Mapping[str, float], now: float
    ) -> None:
        """Take in the report of another entry."""
        self._reports[entry] = _Report(now, dict(demand))

    def remove_entry(self, entry: str) -> None:
        """Leave an entry that left or was fenced out of the split."""
        self._reports.pop(entry, None)

    def rebalance(self, now: float) -> None:
        """Measure the own demand and split the quotas afresh, once a second."""
        if self._ticked_at is not None and now > self._ticked_at:
            self._measure(now - self._ticked_at)
        self._ticked_at = now
        self._split(now)

    def request_wait_s(self, team: str, count: int, now: float) -> float:
        """Count a request and return the seconds until it is admitted.

        A team without a limit is always admitted.
        """
        self._asked[team] += count
        bucket = self._buckets.get(team)
        return 0 if bucket is None else bucket.wait_s(count, now)

    def charge(self, team: str, count: int, now: float) -> None:
        """Charge an admitted request to its team."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.take(count, now)

    def enforced_rate(self, team: str) -> float:
        """Return the part of a team's rate that this entry enforces."""
        return self._buckets[team].rate

    def _measure(self, elapsed_s: float) -> None:
        for team in self._limits:
            asked = self._asked[team] / elapsed_s
            known = self._demand.get(team, asked)
            self._demand[team] = known + _SMOOTHING * (asked - known)
        self._asked.clear()

    def _split(self, now: float) -> None:
        for team, limit in self._limits.items():
            rate = max(_LEAST_RATE, self._part(team, limit, now))
            bucket = self._buckets.setdefault(team, TokenBucket(rate, now))
            bucket.set_rate(rate, now)

    def _part(self, team: str, limit: float, now: float) -> float:
        others = [
            self._reported(report, team, now) for report in self._reports.values()
        ]
        own = self._demand.get(team, 0)
        fair = limit / (len(others) + 1)
        part = max_min_share(limit, own, others)
        return max(part, fair * _FLOOR_SHARE)

    def _reported(self, report: _Report, team: str, now: float) -> float:
        if now - report.received_at > _REPORT_LIFETIME_S:
            return _UNKNOWN_DEMAND
        return report.demand.get(team, 0)


def max_min_share(limit: float, own: float, others: list[float]) -> float:
    """Return the own part of a max-min fair split, with a share of what is spare.

    >>> max_min_share(90, 80, [80, 10])
    40.0
    >>> max_min_share(90, 30, [15, 15])
    40.0
    """
    left = limit
    claims = sorted([own, *others])
    for index, claim in enumerate(claims):
        level = left / (len(claims) - index)
        if claim > level:
            return min(own, level)
        left -= claim
    return own + left / len(claims)
