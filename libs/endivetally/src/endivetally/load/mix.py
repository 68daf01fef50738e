"""What callers send: kinds of request, run times, sizes of jobs, arrivals."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec
from endivetally_config.operator_config import ServiceKind

_TWO: Final = 2


class Arrival(msgspec.Struct, frozen=True):
    """One request that a caller is going to send.

    :param at_s: seconds after the start of the load at which it is due.
    :param key: idempotency key, and prefix of the ids of its tasks.
    :param run_ms: run time of each task on an idle worker.
    :param subjects: what each task is about; none in generated load.
    """

    at_s: float
    service: str
    kind: ServiceKind
    key: str
    run_ms: list[int]
    subjects: list[str] = []


@dataclass(frozen=True, slots=True)
class RunTimes:
    """Run times: log-uniform for most tasks, with a uniform tail.

    :param tail_share: share of the tasks whose run time is in the tail.
    """

    low_ms: int = 50
    high_ms: int = 1000
    tail_share: float = 0.05
    tail_high_ms: int = 5000

    @property
    def mean_ms(self) -> float:
        """Mean run time.

        >>> round(RunTimes(tail_share=0).mean_ms)
        317
        """
        body_ms = (self.high_ms - self.low_ms) / math.log(self.high_ms / self.low_ms)
        tail_ms = (self.high_ms + self.tail_high_ms) / _TWO
        return (1 - self.tail_share) * body_ms + self.tail_share * tail_ms

    def draw(self, source: random.Random) -> int:
        """Return one run time in milliseconds."""
        if source.random() < self.tail_share:
            return round(source.uniform(self.high_ms, self.tail_high_ms))
        exponent = source.uniform(math.log(self.low_ms), math.log(self.high_ms))
        return round(math.exp(exponent))


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request of a mix.

    :param slots: slots that the service occupies at load 1.
    :param min_tasks: tasks of the smallest job; 1 for single requests.
    """

    service: str
    service_kind: ServiceKind
    slots: float
    run_times: RunTimes = RunTimes()
    min_tasks: int = 1
    max_tasks: int = 1

    def requests_per_s(self, load: float) -> float:
        """Return the arrival rate at which the load occupies that share of slots."""
        tasks_per_request = (self.min_tasks + self.max_tasks) / _TWO
        tasks_per_s = load * self.slots * 1000 / self.run_times.mean_ms
        return tasks_per_s / tasks_per_request


@dataclass(frozen=True, slots=True)
class Bursts:
    """Periods of a higher arrival rate; the mean rate stays the same.

    :param factor: rate inside a burst over the mean rate.
    """

    period_s: float = 5
    length_s: float = 1
    factor: float = 1.25

    @property
    def base_factor(self) -> float:
        """Rate outside bursts over the mean rate."""
        share = self.length_s / self.period_s
        return (1 - share * self.factor) / (1 - share)

    def factor_at(self, at_s: float) -> float:
        """Return the rate at a time over the mean rate."""
        within_burst = at_s % self.period_s >= self.period_s - self.length_s
        return self.factor if within_burst else self.base_factor


def plan_arrivals(
    kinds: tuple[RequestKind, ...],
    *,
    load: float,
    seconds: float,
    seed: int,
    bursts: Bursts | None = None,
) -> list[Arrival]:
    """Draw the arrivals of a run, in order of time; same seed, same arrivals.

    :param load: 1 occupies all slots on average.
    """
    arrivals: list[Arrival] = []
    for kind in kinds:
        source = random.Random(f'{seed}/{kind.service}')
        times = _arrival_times(
            kind.requests_per_s(load),
            seconds,
            bursts or Bursts(),
            source,
        )
        arrivals.extend(
            _arrival(kind, number, at_s, source) for number, at_s in enumerate(times)
        )
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _arrival_times(
    per_s: float,
    seconds: float,
    bursts: Bursts,
    source: random.Random,
) -> Iterator[float]:
    # Thinning: candidates at the highest rate, kept by the rate at their time.
    max_factor = max(bursts.factor, bursts.base_factor)
    at_s = source.expovariate(per_s * max_factor)
    while at_s < seconds:
        if source.random() * max_factor < bursts.factor_at(at_s):
            yield at_s
        at_s += source.expovariate(per_s * max_factor)


def _arrival(
    kind: RequestKind,
    number: int,
    at_s: float,
    source: random.Random,
) -> Arrival:
    tasks = source.randint(kind.min_tasks, kind.max_tasks)
    return Arrival(
        at_s=at_s,
        service=kind.service,
        kind=kind.service_kind,
        key=f'{kind.service}-{number}',
        run_ms=[kind.run_times.draw(source) for _ in range(tasks)],
    )
