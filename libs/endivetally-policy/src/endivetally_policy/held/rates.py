"""How fast targets are: the run time at a target relative to the expected one.

An agent learns the rate of its target. An entry pools the rates of its agents by
kind, and normalises them so that a run time prediction holds for a target of rate 1.
"""

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

# Weight of the newest run, so that a rate depends mostly on the last 25 runs.
RATE_WEIGHT: Final = 0.04
# A run counts as at most this many times slower or faster than the current rate. One
# run in thirty that takes seven times as long then raises the rate by 3% on average,
# and by 5% right after it.
MAX_STEP: Final = 2.25
# Rates beyond these bounds point to wrong declared times.
RATE_BOUNDS: Final = (0.2, 20.0)
# Larger numbers of runs are not told apart.
MAX_RUNS: Final = 10_000
# A target with fewer runs counts with the rate of its kind.
MIN_RUNS: Final = 20
# Least weight of a target in the mean, also if it has no cores.
MIN_CORES: Final = 0.001
# A target within this factor of its kind's rate counts with it. The tasks of a job
# share the error of its declared time, so a single target's rate is off by 13%.
KIND_TOLERANCE: Final = 1.4
# A rate is reported when it has changed by this factor, at this interval in seconds.
REPORTED_CHANGE: Final = 1.1
REPORT_INTERVAL_S: Final = 10.0


class TargetRate:
    """Learns the rate of one target.

    :ivar runs: number of runs that the rate is based on.
    """

    def __init__(self) -> None:
        self.runs = 0
        self._log_rate: float = 0

    @property
    def rate(self) -> float:
        """Run time at this target relative to the expected one.

        >>> TargetRate().rate
        1.0
        """
        return math.exp(self._log_rate)

    def observe(self, run_s: float, expected_s: float) -> None:
        """Record a run that succeeded.

        :param expected_s: expected run time at a target of rate 1.
        """
        if run_s <= 0 or expected_s <= 0:
            return
        self.runs = min(self.runs + 1, MAX_RUNS)
        step = math.log(run_s / expected_s) - self._log_rate
        largest = math.log(MAX_STEP)
        step = min(max(step, -largest), largest)
        weight = max(RATE_WEIGHT, 1 / self.runs)
        low, high = map(math.log, RATE_BOUNDS)
        self._log_rate = min(max(self._log_rate + weight * step, low), high)


@dataclass(frozen=True, slots=True)
class ReportedRate:
    """Rate of a target as its agent reports it.

    :param kind: kind of the target; empty if unknown, which makes the rate 1.
    :param runs: number of runs that the rate is based on.
    :param cores: weight of the target in the mean of all rates.
    """

    kind: str
    rate: float
    runs: int
    cores: float


@dataclass(frozen=True, slots=True)
class KindRate:
    """Normalised rate of the targets of one kind, and the runs that it is based on."""

    rate: float
    runs: int


@dataclass(frozen=True, slots=True)
class PooledRates:
    """Normalised rates of the targets of a pool.

    :param kinds: rates of the kinds that have one.
    :param targets: rates of the targets by name.
    """

    kinds: Mapping[str, KindRate]
    targets: Mapping[str, float]


def pool_rates(reported: Mapping[str, ReportedRate]) -> PooledRates:
    """Pool rates by kind, and normalise them to a mean of 1, weighted by cores.

    A kind's rate is the median of its targets with enough runs, so that a single
    faulty target does not change it. Targets of kinds without a rate count with 1.

    :param reported: rates of the targets of one pool, by name.
    """
    known = _find_kind_rates(reported.values())
    raw = {
        name: _choose_rate(target, known[target.kind].rate)
        for name, target in reported.items()
        if target.kind in known
    }
    cores = {name: max(reported[name].cores, MIN_CORES) for name in raw}
    weighted = sum(rate * cores[name] for name, rate in raw.items())
    mean = weighted / sum(cores.values()) if raw else 1.0
    return PooledRates(
        {kind: KindRate(each.rate / mean, each.runs) for kind, each in known.items()},
        {name: raw[name] / mean if name in raw else 1.0 for name in reported},
    )


def _find_kind_rates(reported: Iterable[ReportedRate]) -> dict[str, KindRate]:
    by_kind: defaultdict[str, list[ReportedRate]] = defaultdict(list)
    for target in reported:
        if target.kind and target.runs >= MIN_RUNS:
            by_kind[target.kind].append(target)
    return {kind: _combine(targets) for kind, targets in by_kind.items()}


def _combine(targets: list[ReportedRate]) -> KindRate:
    return KindRate(
        statistics.median(target.rate for target in targets),
        sum(target.runs for target in targets),
    )


def _choose_rate(target: ReportedRate, kind_rate: float) -> float:
    ratio = target.rate / kind_rate
    is_like_kind = 1 / KIND_TOLERANCE <= ratio <= KIND_TOLERANCE
    return kind_rate if target.runs < MIN_RUNS or is_like_kind else target.rate


class RateChangeDetector:
    """Tells which changes of rates to report, at limited intervals."""

    def __init__(self) -> None:
        self._reported: dict[str, tuple[float, float]] = {}

    def check(self, name: str, rate: float, now: float) -> float | None:
        """Return the rate reported last if this one has to be reported, else ``None``.

        :param name: kind or target; the first report of each compares with 1.
        """
        former, reported_at = self._reported.get(name, (1.0, -math.inf))
        changed = max(rate / former, former / rate) > REPORTED_CHANGE
        if not changed or now < reported_at + REPORT_INTERVAL_S:
            return None
        self._reported[name] = (rate, now)
        return former

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget all others, so that their number stays bounded."""
        kept = set(names)
        for name in set(self._reported) - kept:
            del self._reported[name]
