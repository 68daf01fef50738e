"""Estimates run times per service from observed tasks.

Declared run times, which may be far off, only serve as priors.
"""

import random
from typing import Final

# Minimum weight of a new run time in the moving average.
_SMOOTHING: Final = 0.05
# Number of run times that the quantiles are computed from.
_SAMPLE_SIZE: Final = 256
# Number of observed tasks from which the quantiles replace the prior.
_MIN_OBSERVATIONS: Final = 10
# Prior of the p95, relative to the declared run time.
_PRIOR_P95_FACTOR: Final = 3.0
# The sample is sorted after each of the first observations, up to this number, and
# after that once per this number of observations.
_SORT_INTERVAL: Final = 32
_MS_PER_S: Final = 1000.0
_P50: Final = 0.5
_P95: Final = 0.95


class RunTimeEstimate:
    """Estimated run time of one service's tasks, in seconds.

    :param declared_s: prior that is used until enough tasks were observed.
    :param seed: seed of the random sample.
    """

    def __init__(self, declared_s: float, seed: int = 0) -> None:
        self._mean_s = declared_s
        self._declared_s = declared_s
        self._count = 0
        self._samples: list[float] = []
        self._sorted: list[float] = []
        self._random = random.Random(seed)

    @property
    def count(self) -> int:
        """Number of observed tasks."""
        return self._count

    @property
    def mean_s(self) -> float:
        """Exponential moving average of the run time."""
        return self._mean_s

    @property
    def p50_s(self) -> float:
        """Median run time."""
        return self._quantile(_P50, self._declared_s)

    @property
    def p95_s(self) -> float:
        """Run time that 5% of the tasks exceed."""
        return self._quantile(_P95, self._declared_s * _PRIOR_P95_FACTOR)

    def set_prior(self, declared_s: float) -> None:
        """Set the prior, unless tasks were already observed."""
        if self._count == 0:
            self._mean_s = declared_s
            self._declared_s = declared_s

    def observe(self, run_s: float) -> None:
        """Record the run time of a task that succeeded."""
        self._count += 1
        share = max(_SMOOTHING, 1 / (self._count + 1))
        self._mean_s += share * (run_s - self._mean_s)
        self._add_sample(run_s)
        if self._count % _SORT_INTERVAL == 0 or self._count <= _SORT_INTERVAL:
            self._sorted = sorted(self._samples)

    def _add_sample(self, run_s: float) -> None:
        if len(self._samples) < _SAMPLE_SIZE:
            self._samples.append(run_s)
            return
        self._samples[self._random.randrange(_SAMPLE_SIZE)] = run_s

    def _quantile(self, share: float, prior: float) -> float:
        if self._count < _MIN_OBSERVATIONS:
            return prior
        return self._sorted[int(share * (len(self._sorted) - 1))]


class RunTimeEstimates:
    """Run time estimates of all services.

    :param default_s: prior of a service for which none was set.
    """

    def __init__(self, default_s: float = 0.5) -> None:
        self._default_s = default_s
        self._services: dict[str, RunTimeEstimate] = {}

    def set_prior(self, service: str, run_ms: float) -> None:
        """Set the prior of a service, unless its tasks were already observed."""
        self.estimate_for(service).set_prior(run_ms / _MS_PER_S)

    def observe(self, service: str, run_ms: float) -> None:
        """Record the run time of a task that succeeded."""
        self.estimate_for(service).observe(run_ms / _MS_PER_S)

    def estimate_for(self, service: str) -> RunTimeEstimate:
        """Return the estimate of a service; it is created on first use."""
        if service not in self._services:
            self._services[service] = RunTimeEstimate(self._default_s)
        return self._services[service]
