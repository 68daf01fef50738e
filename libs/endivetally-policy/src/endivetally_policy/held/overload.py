"""Which jobs are delayed or refused where services of different priorities compete.

For deployments in which short urgent jobs and long jobs of lower priorities share their
targets, under bursts and under loads of 1.5 to 6 times the usual one. The figures
behind the constants are in ``docs/design/overload-priorities.md``.
"""

import heapq
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from endivetally_policy.held.admission import RETRY_SPREAD_S
from endivetally_policy.held.admission import ReturnWindow
from endivetally_policy.held.admission import Work

# Factor by which a step in priority makes a job less valuable for the same work.
PRIORITY_FACTOR: Final = 2.0
# Seconds over which started and refused work is averaged.
WINDOW_S: Final = 3.0
# Share of the work of each service that users want served. A service of which less was
# started, of what was started or refused, goes first.
SERVED_FLOOR: Final = 0.5
# Share of the started work of more valuable services that counts as overtaking. With
# all of it, sweeps were served 0.78 in place of 0.98 under both bursts.
OVERTAKING_SHARE: Final = 0.5
# Weight of a job in the mean rank of its service.
RANK_WEIGHT: Final = 0.05
# Share of an entry's cores for callers that return; the others serve new callers.
RETURN_SHARE: Final = 0.5
# Jobs that one arrival may displace; bounds the time of an admission.
MAX_DISPLACED: Final = 4
# Longest time over which the callers of a service return, in seconds.
MAX_RETURN_SPREAD_S: Final = 20.0


@dataclass(frozen=True, slots=True)
class CompetingService:
    """A service as far as competition is concerned.

    :param pool: pool of targets that it shares with other services.
    :param priority: 0 is the most urgent.
    """

    name: str
    pool: str
    priority: int


def rank_job(priority: int, core_s: float) -> float:
    """Return the rank of a job of a service that is not underserved, above 0.

    Lower ranks go first.

    A job costs its callers less per core-second the lower its priority is and the more
    work it needs. The square root of the work keeps large jobs of a kind from starving.

    >>> rank_job(0, 1.6) < rank_job(1, 1.6) < rank_job(2, 12.2)
    True
    """
    return PRIORITY_FACTOR**priority * math.sqrt(max(core_s, 0.001))


@dataclass(frozen=True, slots=True)
class QueuedJob:
    """A queued job that nothing has run of.

    :param rank: from `rank_job`.
    :param latest_start_at: monotonic seconds; a later start misses the objective.
    :param work: its work, all of which is queued.
    """

    identifier: str
    rank: float
    latest_start_at: float
    work: Work


def find_displaced(
    candidates: Iterable[QueuedJob],
    queued: Work,
    expected_wait_s: Callable[[Work], float],
    now: float,
) -> list[tuple[QueuedJob, float]]:
    """Return the jobs that can't be in time after an arrival, and their waits.

    The job of the highest rank is served last. While it can't be in time behind all
    other queued work, it is displaced, so that its caller is not refused only after
    the wait.

    :param candidates: queued jobs with a higher rank than the arrived one.
    :param queued: queued work of the pool, that of the candidates included.
    :param expected_wait_s: returns the time that an amount of work takes to start.
    """
    displaced = []
    for last in heapq.nlargest(MAX_DISPLACED, candidates, key=lambda job: job.rank):
        wait_s = expected_wait_s(queued)
        if wait_s <= last.latest_start_at - now:
            break
        displaced.append((last, wait_s))
        queued = queued.minus(last.work)
    return displaced


def find_competing_pools(services: Iterable[CompetingService]) -> frozenset[str]:
    """Return the pools whose services have different priorities."""
    priorities: dict[str, set[int]] = {}
    for service in services:
        priorities.setdefault(service.pool, set()).add(service.priority)
    return frozenset(pool for pool, found in priorities.items() if len(found) > 1)


@dataclass(slots=True)
class _Demand:
    """Recent work of a service in core-seconds; all sums decay together.

    :param overloaded: the part of the refused work for which there was no capacity.
    """

    updated_at: float
    started: float = 0
    refused: float = 0
    overloaded: float = 0
    rank: float = 0

    def decay(self, now: float) -> None:
        factor = math.exp((self.updated_at - now) / WINDOW_S)
        self.updated_at = now
        self.started *= factor
        self.refused *= factor
        self.overloaded *= factor


class Competition:
    """Learns the recent work of the services of an entry that compete for a pool.

    Services of pools without different priorities are not tracked.
    """

    def __init__(self) -> None:
        self._services: Mapping[str, CompetingService] = {}
        self._demands: dict[str, dict[str, _Demand]] = {}

    def apply_services(self, services: Iterable[CompetingService]) -> None:
        """Replace the services; what was learned about those that stay is kept."""
        services = tuple(services)
        pools = find_competing_pools(services)
        self._services = {each.name: each for each in services if each.pool in pools}
        self._demands = {
            pool: {
                name: demand
                for name, demand in self._demands.get(pool, {}).items()
                if name in self._services and self._services[name].pool == pool
            }
            for pool in pools
        }

    def is_competing(self, service: str) -> bool:
        """Return whether a service shares its pool with other priorities."""
        return service in self._services

    def is_underserved(self, service: str) -> bool:
        """Return whether less of a service's work starts than users want.

        Work that is neither started nor refused yet says nothing.
        """
        demand = self._find(service)
        if demand is None:
            return False
        decided = demand.started + demand.overloaded
        return demand.started < decided * SERVED_FLOOR

    def rank(self, service: str, core_s: float) -> float | None:
        """Return the rank of a job, or ``None`` if its service does not compete.

        Jobs of underserved services have negative ranks, in the same order.
        """
        cost = self.cost(service, core_s)
        if cost is None:
            return None
        return -1 / cost if self.is_underserved(service) else cost

    def cost(self, service: str, core_s: float) -> float | None:
        """Return the rank of a job if its service is not underserved."""
        competing = self._services.get(service)
        return None if competing is None else rank_job(competing.priority, core_s)

    def record_offered(self, service: str, core_s: float, now: float) -> None:
        """Record the rank of an arriving job, whether it is admitted or not."""
        demand = self._update(service, now)
        if demand is not None:
            cost = rank_job(self._services[service].priority, core_s)
            weight = RANK_WEIGHT if demand.rank else 1
            demand.rank += (cost - demand.rank) * weight

    def record_started(self, service: str, core_s: float, now: float) -> None:
        """Record tasks that were sent to agents, or take back those that were refused.

        :param core_s: negative for tasks that were recorded and have not run.
        """
        demand = self._update(service, now)
        if demand is not None:
            demand.started = max(demand.started + core_s, 0)

    def record_refused(
        self, service: str, core_s: float, now: float, *, overloaded: bool = True
    ) -> None:
        """Record a refused or displaced job, whose caller returns.

        :param overloaded: whether it was refused for want of capacity.
        """
        demand = self._update(service, now)
        if demand is not None:
            demand.refused += core_s
            demand.overloaded += core_s if overloaded else 0

    def overtaking_cores(self, service: str, rank: float | None, now: float) -> float:
        """Return the cores for work that arrives after a job and goes before it.

        It is learned from the started work of more valuable services. Jobs of an
        underserved service are not overtaken by it.
        """
        if rank is None or rank < 0:
            return 0
        return (
            sum(
                demand.started
                * math.exp((demand.updated_at - now) / WINDOW_S)
                / WINDOW_S
                for name, demand in self._pool_demands(service).items()
                if name != service and demand.rank < rank
            )
            * OVERTAKING_SHARE
        )

    def find_return_window(self, service: str, cores: float) -> ReturnWindow:
        """Return when refused callers of a service may return.

        Callers of more urgent services return first. Each return takes the cores that
        are reserved for returns.

        :param cores: cores that the entry may use.
        """
        priority = self._services[service].priority
        demands = self._pool_demands(service)
        refused = [(self._services[name].priority, demands[name]) for name in demands]
        before = sum(each.refused for other, each in refused if other < priority)
        equal = sum(each.refused for other, each in refused if other == priority)
        cores_for_returns = max(cores * RETURN_SHARE, 0.001)
        spread_s = max(equal / cores_for_returns, RETRY_SPREAD_S)
        return ReturnWindow(
            min(before / cores_for_returns, MAX_RETURN_SPREAD_S),
            min(spread_s, MAX_RETURN_SPREAD_S),
        )

    def _pool_demands(self, service: str) -> dict[str, _Demand]:
        competing = self._services.get(service)
        return {} if competing is None else self._demands[competing.pool]

    def _find(self, service: str) -> _Demand | None:
        return self._pool_demands(service).get(service)

    def _update(self, service: str, now: float) -> _Demand | None:
        if service not in self._services:
            return None
        demand = self._pool_demands(service).setdefault(service, _Demand(now))
        demand.decay(now)
        return demand
