"""Admission control: refuses requests that cannot finish in time."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.messages import MAX_TASKS_PER_JOB

from endivetally_policy.admitted_load import AdmittedLoad

if TYPE_CHECKING:
    from endivetally_policy.estimates import RunTimeEstimates
    from endivetally_policy.quotas import TeamQuotas
    from endivetally_policy.scheduling import Scheduler

_MIN_RETRY_AFTER_S: Final = 1
_MS_PER_S: Final = 1000.0
# Largest share of the time until the response is due that is set aside for the run.
# The rest may be spent queued, however long the tasks of the service run.
_MAX_RUN_SHARE: Final = 0.5
# Slots that count as free for a priority even if higher ones occupy all of them, so
# that the expected wait stays finite.
_MIN_SLOTS: Final = 0.5


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of admission.

    :param max_waiting: maximum number of queued tasks of one pool at this entry.
    """

    max_waiting: int = 50_000


@dataclass(frozen=True, slots=True)
class _ExpectedWait:
    """Expected and longest allowed wait of a request.

    :param wait_s: time until its last task starts; 0 when slots are free.
    :param allowed_s: longest wait after which the response is still in time.
    """

    wait_s: float
    allowed_s: float

    @property
    def excess_s(self) -> float:
        return self.wait_s - self.allowed_s


@dataclass(frozen=True, slots=True)
class _TimeWindow:
    """Arrival and deadline of a request, in monotonic seconds."""

    now: float
    deadline: float

    @property
    def budget_s(self) -> float:
        return self.deadline - self.now


class AdmissionController:
    """Admits requests, or refuses them before any of their tasks has run.

    :param scheduler: source of queue lengths and capacity.
    :param estimates: learned run times.
    :param quotas: this entry's share of the teams' quotas.
    """

    def __init__(
        self,
        scheduler: 'Scheduler',
        estimates: 'RunTimeEstimates',
        quotas: 'TeamQuotas',
        settings: AdmissionSettings | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._estimates = estimates
        self._quotas = quotas
        self._settings = settings or AdmissionSettings()
        self._admitted_load = AdmittedLoad()
        self._entry_count = 1
        self._config = OperatorConfig((), ())
        self._services: dict[str, Service] = {}
        self._dependencies: dict[str, tuple[str, ...]] = {}
        self._weights: dict[str, int] = {}

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries, which share the targets equally."""
        self._entry_count = max(1, count)

    def apply_config(self, config: OperatorConfig, now: float) -> None:
        """Apply the operators' configuration: services, teams and their quotas."""
        self._config = config
        self._services = {service.name: service for service in config.services}
        self._dependencies = {
            name: find_dependencies(name, self._services) for name in self._services
        }
        self._weights = {team.name: team.weight for team in config.teams}
        self._set_run_time_priors(config)
        limits = {team.name: float(team.tasks_per_s) for team in config.teams}
        self._quotas.set_limits(limits, now)

    def _set_run_time_priors(self, config: OperatorConfig) -> None:
        pools: dict[str, list[int]] = {}
        for service in config.services:
            self._estimates.set_prior(service.name, service.run_ms)
            pools.setdefault(service.target_pool, []).append(service.run_ms)
        for pool, run_times_ms in pools.items():
            if pool not in self._services:
                self._estimates.set_prior(pool, sum(run_times_ms) / len(run_times_ms))

    def admit(
        self,
        team: str,
        service: str,
        tasks: int,
        deadline: float,
        now: float,
    ) -> None:
        """Admit a request and charge it to its team's quota.

        :param tasks: number of tasks of the request.
        :param deadline: monotonic seconds.
        :raises RequestError: when the request is refused; none of its tasks ran.
        """
        declared = self._services.get(service)
        if declared is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, service)
        self._check_request(declared, tasks, deadline, now)
        self._check_capacity(declared)
        self._check_dependencies(declared, deadline - now)
        self._check_wait(declared, team, tasks, _TimeWindow(now, deadline))
        self._check_quota(team, tasks, now)
        self._quotas.charge(team, tasks, now)
        work_s = tasks * self._estimates.estimate_for(service).mean_s
        self._admitted_load.add(declared.target_pool, declared.priority, work_s, now)

    def _check_request(
        self,
        service: Service,
        tasks: int,
        deadline: float,
        now: float,
    ) -> None:
        if not 0 < tasks <= MAX_TASKS_PER_JOB:
            detail = f'a job has 1 to {MAX_TASKS_PER_JOB} tasks, not {tasks}'
            raise RequestError(ErrorKind.INVALID_JOB_SIZE, detail)
        largest_mb = self._config.largest_worker_memory_mb
        if service.memory_mb > largest_mb:
            detail = f'a task declares {service.memory_mb} MB of {largest_mb} MB'
            raise RequestError(ErrorKind.CANNOT_RUN, detail)
        if deadline <= now:
            raise RequestError(ErrorKind.DEADLINE_PASSED)

    def _check_quota(self, team: str, tasks: int, now: float) -> None:
        wait_s = self._quotas.request_wait_s(team, tasks, now)
        if wait_s > 0:
            raise RequestError(
                ErrorKind.QUOTA_EXCEEDED,
                f'team {team} is above its task starts a second',
                retry_after_s=_retry_after_s(wait_s),
            )

    def _check_capacity(self, service: Service) -> None:
        if self._scheduler.capacity(service.target_pool) == 0:
            raise RequestError(ErrorKind.NO_TARGET, service.name)

    def _check_dependencies(self, service: Service, budget_s: float) -> None:
        for name in self._dependencies[service.name]:
            pool = self._services[name].target_pool
            if self._scheduler.capacity(pool) == 0:
                detail = f'{name} has no open target'
                raise RequestError(ErrorKind.DEPENDENCY_UNAVAILABLE, detail)
            wait_s = self._wait_s(pool, self._scheduler.count_waiting(pool))
            if wait_s > budget_s:
                raise RequestError(
                    ErrorKind.DEPENDENCY_UNAVAILABLE,
                    f'{name} is overloaded',
                    retry_after_s=_retry_after_s(wait_s - budget_s),
                )

    def _check_wait(
        self,
        service: Service,
        team: str,
        tasks: int,
        window: '_TimeWindow',
    ) -> None:
        expected = self._expected_wait(service, team, tasks, window)
        if expected.wait_s > 0 and expected.excess_s > 0:
            raise RequestError(
                ErrorKind.OVERLOADED,
                f'the wait is {expected.wait_s:.1f} s',
                retry_after_s=_retry_after_s(expected.excess_s),
            )
        excess = self._scheduler.count_waiting(service.target_pool) + tasks
        excess -= self._settings.max_waiting
        if excess > 0:
            raise RequestError(
                ErrorKind.OVERLOADED,
                'the queue is full',
                retry_after_s=_retry_after_s(self._wait_s(service.target_pool, excess)),
            )

    def _expected_wait(
        self,
        service: Service,
        team: str,
        tasks: int,
        window: '_TimeWindow',
    ) -> _ExpectedWait:
        ahead = self._scheduler.count_ahead(
            service.target_pool,
            service.priority,
            team,
            self._weights.get(team, 1),
            tasks,
        )
        response_s = window.budget_s
        if service.kind is not ServiceKind.JOB:
            response_s = min(response_s, service.objective.response_ms / _MS_PER_S)
        run_s = min(
            self._estimates.estimate_for(service.name).p95_s,
            response_s * _MAX_RUN_SHARE,
        )
        # Later requests of higher priorities are served first as well.
        pool = service.target_pool
        occupied_slots = self._admitted_load.slots_of_higher_priorities(
            pool, service.priority, window.now
        )
        wait_s = self._wait_s(pool, ahead + tasks, occupied_slots)
        return _ExpectedWait(wait_s, response_s - run_s)

    def _wait_s(self, pool: str, tasks: int, occupied_slots: float = 0) -> float:
        outstanding = self._scheduler.count_outstanding(pool)
        own_share = self._scheduler.capacity(pool) / self._entry_count
        slots = max(1, own_share, outstanding, self._scheduler.available_capacity(pool))
        if tasks + outstanding <= slots:
            return 0
        free_slots = max(_MIN_SLOTS, slots - occupied_slots)
        return tasks * self._estimates.estimate_for(pool).mean_s / free_slots


def find_dependencies(name: str, services: dict[str, Service]) -> tuple[str, ...]:
    """Return the names of the services that a service depends on, transitively."""
    found: dict[str, None] = {}
    pending = [name]
    while pending:
        service = services.get(pending.pop())
        if service is None:
            continue
        new = [other for other in service.depends_on if other not in found]
        found.update(dict.fromkeys(new))
        pending.extend(new)
    found.pop(name, None)
    return tuple(found)


def _retry_after_s(wait_s: float) -> int:
    return max(_MIN_RETRY_AFTER_S, math.ceil(wait_s))
