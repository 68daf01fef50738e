"""Request mix: rates, run times and job sizes, and the arrivals drawn from them."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec
from endivetally_config.operator_config import ServiceKind

_BOUND_COUNT: Final = 2


class Arrival(msgspec.Struct, frozen=True):
    """One planned request of a caller.

    :param at_s: time at which it is due, in seconds after the start of the load.
    :param key: idempotency key, and prefix of the ids of its tasks.
    :param run_ms: run time of each task on an idle worker, in milliseconds.
    :param subjects: what each task is about; empty in generated load.
    """

    at_s: float
    service: str
    kind: ServiceKind
    key: str
    run_ms: list[int]
    subjects: list[str] = []


@dataclass(frozen=True, slots=True)
class RunTimes:
    """Distribution of run times in milliseconds: log-uniform, with a uniform tail.

    :param low_ms: shortest run time.
    :param high_ms: longest run time outside the tail, and shortest in the tail.
    :param tail_share: share of tasks whose run time is in the tail.
    :param tail_high_ms: longest run time in the tail.
    """

    low_ms: int = 50
    high_ms: int = 1000
    tail_share: float = 0.05
    tail_high_ms: int = 5000

    @property
    def mean_ms(self) -> float:
        """Mean run time in milliseconds.

        >>> round(RunTimes(tail_share=0).mean_ms)
        317
        """
        body_ms = (self.high_ms - self.low_ms) / math.log(self.high_ms / self.low_ms)
        tail_ms = (self.high_ms + self.tail_high_ms) / _BOUND_COUNT
        return (1 - self.tail_share) * body_ms + self.tail_share * tail_ms

    def draw(self, source: random.Random) -> int:
        """Draw one run time in milliseconds."""
        if source.random() < self.tail_share:
            return round(source.uniform(self.high_ms, self.tail_high_ms))
        exponent = source.uniform(math.log(self.low_ms), math.log(self.high_ms))
        return round(math.exp(exponent))


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests to one service in a mix.

    :param slots: slots that the service occupies on average at load 1.
    :param min_tasks: tasks of the smallest job; 1 for single requests.
    :param max_tasks: tasks of the largest job; 1 for single requests.
    """

    service: str
    service_kind: ServiceKind
    slots: float
    run_times: RunTimes = RunTimes()
    min_tasks: int = 1
    max_tasks: int = 1

    def requests_per_s(self, load: float) -> float:
        """Return the arrival rate that occupies the share ``load`` of the slots."""
        tasks_per_request = (self.min_tasks + self.max_tasks) / _BOUND_COUNT
        tasks_per_s = load * self.slots * 1000 / self.run_times.mean_ms
        return tasks_per_s / tasks_per_request


@dataclass(frozen=True, slots=True)
class Bursts:
    """Periodic bursts of a higher arrival rate; the mean rate stays the same.

    :param period_s: time from the start of one burst to the next.
    :param length_s: length of a burst, at the end of each period.
    :param factor: arrival rate inside a burst, relative to the mean rate.
    """

    period_s: float = 5
    length_s: float = 1
    factor: float = 1.25

    @property
    def base_factor(self) -> float:
        """Arrival rate outside bursts, relative to the mean rate."""
        share = self.length_s / self.period_s
        return (1 - share * self.factor) / (1 - share)

    def factor_at(self, at_s: float) -> float:
        """Return the arrival rate at a time, relative to the mean rate."""
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
    """Draw the arrivals of a run, in order of time.

    The same seed gives the same arrivals.

    :param load: 1 occupies all slots on average.
    :param seconds: time during which requests arrive.
    """
    arrivals: list[Arrival] = []
    for kind in kinds:
        source = random.Random(f'{seed}/{kind.service}')
        times = _draw_times(
            kind.requests_per_s(load),
            seconds,
            bursts or Bursts(),
            source,
        )
        arrivals.extend(
            _draw_arrival(kind, number, at_s, source)
            for number, at_s in enumerate(times)
        )
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_times(
    per_s: float,
    seconds: float,
    bursts: Bursts,
    source: random.Random,
) -> Iterator[float]:
    # Thinning of a Poisson process: draw candidates at the highest rate, and keep
    # each with the probability (rate at its time) / (highest rate).
    max_factor = max(bursts.factor, bursts.base_factor)
    at_s = source.expovariate(per_s * max_factor)
    while at_s < seconds:
        if source.random() * max_factor < bursts.factor_at(at_s):
            yield at_s
        at_s += source.expovariate(per_s * max_factor)


def _draw_arrival(
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
