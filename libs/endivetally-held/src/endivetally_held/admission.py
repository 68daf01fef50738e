"""Admission control of held jobs at an entry."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

from endivetally_config.operator_config import Service
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.clients import OpenTaskLimit
from endivetally_policy.held import AdmissionVerdict
from endivetally_policy.held import Competition
from endivetally_policy.held import HeldAdmissionPolicy
from endivetally_policy.held import Load
from endivetally_policy.held import Work
from endivetally_policy.held import find_displaced
from endivetally_policy.held.admission import DEFAULT_RETURNS
from endivetally_policy.held.admission import RETRY_SPREAD_S
from endivetally_policy.held.admission import AdmissionDecision
from endivetally_policy.held.admission import ReturnWindow

from endivetally_held.agent_connections import AgentConnections
from endivetally_held.containment import CrashContainment
from endivetally_held.jobs import HeldJob
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_held.open_job import OpenJob

# A draining entry admits a job only if at least its predicted run time times this
# factor is left.
DRAIN_FACTOR: Final = 1.5
# Seconds; the caller can turn to another entry at once.
DRAIN_RETRY_S: Final = 1
NO_WORK: Final = Work(0, 0)
# Reason of a job that is refused because the entry holds too many tasks.
TOO_MANY_TASKS: Final = 'too_many_tasks'


@dataclass(frozen=True, slots=True)
class Displacement:
    """A queued job that is refused because another one was admitted.

    :param response: to its caller.
    """

    open_job: OpenJob
    response: JobResponse


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """What is decided when a job arrives.

    :param refusal: response to its caller; ``None`` when the job is admitted.
    :param displaced: queued jobs that are refused because of it.
    """

    refusal: JobResponse | None = None
    displaced: tuple[Displacement, ...] = ()


class JobAdmissionController:
    """Refuses jobs on arrival that can't meet their response time objective.

    :param connections: provide the load of the agents.
    :param rng: spreads the retries of refused callers.
    :param competition: tells which services compete, and learns their work.
    :param containment: tells which services are confined to few targets.
    :param task_limit: bounds the tasks of all open jobs.
    """

    def __init__(
        self,
        connections: AgentConnections,
        events: EventLog,
        rng: random.Random,
        competition: Competition,
        containment: CrashContainment,
        task_limit: OpenTaskLimit,
    ) -> None:
        self._connections = connections
        self._containment = containment
        self._task_limit = task_limit
        self._events = events
        self._random = rng
        self._controller = HeldAdmissionPolicy()
        self._competition = competition

    def decide(
        self, open_job: OpenJob, others: Iterable[OpenJob], time_left_s: float
    ) -> AdmissionResult:
        """Admit or refuse a job, and displace the queued jobs that it delays too long.

        :param others: open jobs that were admitted before.
        :param time_left_s: seconds until the process ends.
        """
        service = open_job.service.name
        now = open_job.arrived_at
        self._competition.record_offered(service, open_job.total_core_s, now)
        load = self._measure_load(open_job, others)
        if open_job.rank is not None:
            overtaking = self._competition.overtaking_cores(service, open_job.rank, now)
            load = replace(load, overtaking_cores=overtaking)
        decision = self._controller.decide(
            load,
            open_job.slack_s,
            jitter=self._random.random(),
            returns=self._find_return_window(open_job, load),
        )
        if decision.verdict is not AdmissionVerdict.ADMITTED:
            return self._refuse(
                open_job, load, decision, decision.verdict.value, decision.retry_after_s
            )
        if time_left_s < open_job.critical_path_s * DRAIN_FACTOR:
            return self._refuse(open_job, load, decision, 'draining', DRAIN_RETRY_S)
        self._report_admitted(open_job, decision.wait_s)
        # While agents are joining, nothing is known of the capacity.
        if open_job.rank is None or load.capacity_cores <= 0:
            return AdmissionResult()
        return AdmissionResult(displaced=self._find_displaced(open_job, others, load))

    def find_task_refusal(
        self, job: HeldJob, service: Service, others: Iterable[OpenJob]
    ) -> JobResponse | None:
        """Return the refusal of a job for which too many tasks are open, if they are.

        It is found before the tasks of the job are created, which takes milliseconds
        for a large one.

        :param others: open jobs that were admitted before.
        """
        task_count = sum(step.count for step in job.steps)
        open_tasks = sum(len(other.tasks) for other in others)
        if self._task_limit.admits(open_tasks, task_count):
            return None
        retry_after_s = 1 + int(self._random.random() * RETRY_SPREAD_S)
        self._events.emit(
            Event.JOB_REFUSED,
            job=job.identifier,
            service=service.name,
            priority=service.priority,
            reason=TOO_MANY_TASKS,
            tasks=task_count,
            open_tasks=open_tasks,
            retry_after_s=retry_after_s,
        )
        return JobResponse(JobResult.REFUSED, TOO_MANY_TASKS, retry_after_s)

    def find_retry_after_s(self, open_job: OpenJob, now: float) -> int:
        """Return when the caller of a queued job that is given up may retry."""
        jitter = self._random.random()
        if not self._competition.is_competing(open_job.service.name):
            return 1 + int(jitter * RETRY_SPREAD_S)
        self._competition.record_refused(
            open_job.service.name, open_job.total_core_s, now
        )
        load = self._measure_load(open_job, ())
        return self._find_return_window(open_job, load).retry_after_s(0, jitter)

    def _find_displaced(
        self, admitted: OpenJob, others: Iterable[OpenJob], load: Load
    ) -> tuple[Displacement, ...]:
        rank = admitted.rank or 0
        waiting = [
            each
            for each in others
            if each.waiting_count
            and each.service.target_pool == admitted.service.target_pool
        ]
        candidates = {
            each.job.identifier: (each, each.queued_job)
            for each in waiting
            if not each.has_started and (each.rank or 0) > rank
        }
        if not candidates:
            return ()
        works = [each.waiting_work for each in (*waiting, admitted)]
        found = find_displaced(
            [queued for _, queued in candidates.values()],
            Work(sum(work.cores for work in works), sum(work.core_s for work in works)),
            lambda queued: self._controller.expected_wait_s(
                replace(load, work_ahead=queued, job_work=NO_WORK, overtaking_cores=0)
            ),
            admitted.arrived_at,
        )
        return tuple(
            self._displace(candidates[each.identifier][0], admitted, wait_s, load)
            for each, wait_s in found
        )

    def _displace(
        self, displaced: OpenJob, admitted: OpenJob, wait_s: float, load: Load
    ) -> Displacement:
        now = admitted.arrived_at
        name = displaced.service.name
        self._competition.record_refused(name, displaced.total_core_s, now)
        time_left_s = displaced.latest_start_at - now
        window = self._find_return_window(displaced, load)
        retry_after_s = window.retry_after_s(
            wait_s - time_left_s, self._random.random()
        )
        self._events.emit(
            Event.JOB_DISPLACED,
            job=displaced.job.identifier,
            service=name,
            priority=displaced.service.priority,
            rank=round(displaced.rank or 0, 3),
            job_core_s=round(displaced.total_core_s, 2),
            wait_ms=int(wait_s * 1000),
            slack_ms=int(time_left_s * 1000),
            for_job=admitted.job.identifier,
            for_service=admitted.service.name,
            for_priority=admitted.service.priority,
            for_rank=round(admitted.rank or 0, 3),
            retry_after_s=retry_after_s,
        )
        response = JobResponse(JobResult.REFUSED, 'overloaded', retry_after_s)
        return Displacement(displaced, response)

    def _find_return_window(self, open_job: OpenJob, load: Load) -> ReturnWindow:
        service = open_job.service.name
        if load.capacity_cores <= 0 or not self._competition.is_competing(service):
            return DEFAULT_RETURNS
        cores = load.capacity_cores / max(load.entry_count, 1)
        return self._competition.find_return_window(service, cores)

    def _refuse(
        self,
        open_job: OpenJob,
        load: Load,
        decision: AdmissionDecision,
        reason: str,
        retry_after_s: int,
    ) -> AdmissionResult:
        rank = open_job.rank
        self._competition.record_refused(
            open_job.service.name,
            open_job.total_core_s,
            open_job.arrived_at,
            overloaded=reason == AdmissionVerdict.OVERLOADED.value,
        )
        self._events.emit(
            Event.JOB_REFUSED,
            job=open_job.job.identifier,
            service=open_job.service.name,
            reason=reason,
            wait_ms=int(decision.wait_s * 1000),
            slack_ms=int(open_job.slack_s * 1000),
            ahead_core_s=round(load.work_ahead.core_s, 2),
            job_core_s=round(load.job_work.core_s, 2),
            capacity=round(load.capacity_cores, 2),
            free=round(load.free_cores, 2),
            entries=load.entry_count,
            running=round(load.running_cores, 1),
            joining=load.joining_targets,
            priority=open_job.service.priority,
            rank=None if rank is None else round(rank, 3),
            overtaking=round(load.overtaking_cores, 1),
            retry_after_s=retry_after_s,
        )
        return AdmissionResult(JobResponse(JobResult.REFUSED, reason, retry_after_s))

    def _report_admitted(self, open_job: OpenJob, wait_s: float) -> None:
        self._events.emit(
            Event.JOB_RECEIVED,
            job=open_job.job.identifier,
            service=open_job.service.name,
            tasks=len(open_job.tasks),
            wait_ms=int(wait_s * 1000),
            slack_ms=int(open_job.slack_s * 1000),
        )

    def _measure_load(self, open_job: OpenJob, others: Iterable[OpenJob]) -> Load:
        pool = open_job.service.target_pool
        peers = self._connections.find_accepting_peers(pool)
        same_pool = [other for other in others if other.service.target_pool == pool]
        if self._containment.is_confined(open_job.service.name):
            targets = self._containment.find_targets(pool)
            peers = [peer for peer in peers if peer.name in targets]
            same_pool = [
                other
                for other in same_pool
                if self._containment.is_confined(other.service.name)
            ]
        arriving = open_job.order
        ahead = [
            other.waiting_work
            for other in same_pool
            if other.has_started or other.order <= arriving
        ]
        agents = [peer.load for peer in peers]
        capacity = sum(agent.capacity.cpu / agent.rate for agent in agents) / 1000
        joining = self._connections.joining_count
        return Load(
            work_ahead=Work(
                sum(work.cores for work in ahead),
                sum(work.core_s for work in ahead),
            ),
            job_work=open_job.waiting_work,
            capacity_cores=capacity + joining * capacity / max(len(agents), 1),
            free_cores=sum(
                max(agent.free.cpu - agent.backlog_cpu, 0) / agent.rate
                for agent in agents
            )
            / 1000,
            entry_count=max((peer.entry_count for peer in peers), default=1),
            fits_a_target=all(
                any(agent.capacity.covers(step.need) for agent in agents)
                for step in open_job.job.steps
            ),
            running_cores=sum(other.running_cores for other in same_pool),
            joining_targets=joining,
        )
