"""Refuses at once what could not be answered in time."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Final

from endivetally_config.text import OperatorsText
from endivetally_config.text import Service
from endivetally_config.text import ServiceKind
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.messages import MAX_TASKS_PER_JOB

from endivetally_policy.admitted_load import AdmittedLoad

if TYPE_CHECKING:
    from endivetally_policy.estimates import RunTimeEstimates
    from endivetally_policy.quotas import TeamQuotas
    from endivetally_policy.scheduling import Scheduler

_LEAST_RETRY_S: Final = 1
_MS_PER_S: Final = 1000.0
_MAX_RUN_SHARE: Final = 0.5
_LEAST_SLOTS: Final = 0.5


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of admission.

    :param max_waiting: tasks of one service that may wait at this entry.
    """

    max_waiting: int = 50_000


@dataclass(frozen=True, slots=True)
class _Backlog:
    """Wait that a request would meet.

    :param wait_s: time until its last task starts; 0 when slots are free.
    :param allowed_s: longest wait with which it is still answered in time.
    """

    wait_s: float
    allowed_s: float

    @property
    def excess_s(self) -> float:
        return self.wait_s - self.allowed_s


@dataclass(frozen=True, slots=True)
class _Span:
    """Time that a request has, in monotonic seconds."""

    now: float
    deadline: float

    @property
    def budget_s(self) -> float:
        return self.deadline - self.now


class AdmissionController:
    """Admits requests, or refuses them before anything of them ran.

    :param scheduler: tells backlog and capacity.
    :param estimates: learned run times.
    :param quotas: this entry's part of the teams' quotas.
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
        self._rates = AdmittedLoad()
        self._entries = 1
        self._text = OperatorsText((), ())
        self._services: dict[str, Service] = {}
        self._needed: dict[str, tuple[str, ...]] = {}
        self._weights: dict[str, int] = {}

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries that share the targets."""
        self._entries = max(1, count)

    def apply_config(self, text: OperatorsText, now: float) -> None:
        """Put a text in force."""
        self._text = text
        self._services = {service.name: service for service in text.services}
        self._needed = {
            name: find_dependencies(name, self._services) for name in self._services
        }
        self._weights = {team.name: team.weight for team in text.teams}
        self._declare_run_times(text)
        limits = {team.name: float(team.tasks_per_s) for team in text.teams}
        self._quotas.set_limits(limits, now)

    def _declare_run_times(self, text: OperatorsText) -> None:
        pools: dict[str, list[int]] = {}
        for service in text.services:
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

        :param tasks: number of its tasks.
        :param deadline: monotonic seconds.
        :raises RequestError: when it is refused; nothing of it ran.
        """
        declared = self._services.get(service)
        if declared is None:
            raise RequestError(ErrorKind.UNKNOWN_SERVICE, service)
        self._check_feasible(declared, tasks, deadline, now)
        self._check_targets(declared)
        self._check_dependencies(declared, deadline - now)
        self._check_backlog(declared, team, tasks, _Span(now, deadline))
        self._check_quota(team, tasks, now)
        self._quotas.charge(team, tasks, now)
        work_s = tasks * self._estimates.estimate_for(service).mean_s
        self._rates.add(declared.target_pool, declared.priority, work_s, now)

    def _check_feasible(
        self,
        service: Service,
        tasks: int,
        deadline: float,
        now: float,
    ) -> None:
        if not 0 < tasks <= MAX_TASKS_PER_JOB:
            detail = f'a job has 1 to {MAX_TASKS_PER_JOB} tasks, not {tasks}'
            raise RequestError(ErrorKind.INVALID_JOB_SIZE, detail)
        largest_mb = self._text.largest_worker_memory_mb
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

    def _check_targets(self, service: Service) -> None:
        if self._scheduler.capacity(service.target_pool) == 0:
            raise RequestError(ErrorKind.NO_TARGET, service.name)

    def _check_dependencies(self, service: Service, budget_s: float) -> None:
        for name in self._needed[service.name]:
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

    def _check_backlog(
        self,
        service: Service,
        team: str,
        tasks: int,
        span: '_Span',
    ) -> None:
        backlog = self._backlog(service, team, tasks, span)
        if backlog.wait_s > 0 and backlog.excess_s > 0:
            raise RequestError(
                ErrorKind.OVERLOADED,
                f'the wait is {backlog.wait_s:.1f} s',
                retry_after_s=_retry_after_s(backlog.excess_s),
            )
        excess = self._scheduler.count_waiting(service.target_pool) + tasks
        excess -= self._settings.max_waiting
        if excess > 0:
            raise RequestError(
                ErrorKind.OVERLOADED,
                'the queue is full',
                retry_after_s=_retry_after_s(self._wait_s(service.target_pool, excess)),
            )

    def _backlog(
        self,
        service: Service,
        team: str,
        tasks: int,
        span: '_Span',
    ) -> _Backlog:
        ahead = self._scheduler.count_ahead(
            service.target_pool,
            service.priority,
            team,
            self._weights.get(team, 1),
            tasks,
        )
        answer_s = span.budget_s
        if service.kind is not ServiceKind.JOB:
            answer_s = min(answer_s, service.objective.response_ms / _MS_PER_S)
        run_s = min(
            self._estimates.estimate_for(service.name).p95_s, answer_s * _MAX_RUN_SHARE
        )
        # Later requests of higher priorities go first as well.
        pool = service.target_pool
        overtaken = self._rates.before(pool, service.priority, span.now)
        wait_s = self._wait_s(pool, ahead + tasks, overtaken)
        return _Backlog(wait_s, answer_s - run_s)

    def _wait_s(self, pool: str, tasks: int, overtaken: float = 0) -> float:
        outstanding = self._scheduler.count_outstanding(pool)
        share = self._scheduler.capacity(pool) / self._entries
        slots = max(1, share, outstanding, self._scheduler.available_capacity(pool))
        if tasks + outstanding <= slots:
            return 0
        left = max(_LEAST_SLOTS, slots - overtaken)
        return tasks * self._estimates.estimate_for(pool).mean_s / left


def find_dependencies(name: str, services: dict[str, Service]) -> tuple[str, ...]:
    """Return the services that one needs, directly or through others."""
    found: dict[str, None] = {}
    pending = [name]
    while pending:
        service = services.get(pending.pop())
        if service is None:
            continue
        new = [needed for needed in service.depends_on if needed not in found]
        found.update(dict.fromkeys(new))
        pending.extend(new)
    found.pop(name, None)
    return tuple(found)


def _retry_after_s(wait_s: float) -> int:
    return max(_LEAST_RETRY_S, math.ceil(wait_s))
