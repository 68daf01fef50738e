"""Entry for held jobs: admits, queues and dispatches them, and responds to callers."""

import asyncio
import math
import random
from collections.abc import Callable
from collections.abc import Container
from contextlib import AsyncExitStack
from functools import partial
from typing import Final
from typing import Self

from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import VersionedConfig
from endivetally_core.clock import PauseDetector
from endivetally_core.clock import monotonic_now
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.clients import OpenTaskLimit
from endivetally_policy.held import CompetingService
from endivetally_policy.held import Competition
from endivetally_policy.held import NextAction
from endivetally_policy.held import RunEnd
from endivetally_policy.held import RunTimePredictor
from endivetally_policy.held import next_action
from endivetally_policy.held import should_give_up
from endivetally_policy.held.run_ends import NEVER_RAN

from endivetally_held.admission import DRAIN_RETRY_S
from endivetally_held.admission import JobAdmissionController
from endivetally_held.agent_connections import AgentConnections
from endivetally_held.agent_connections import AgentListener
from endivetally_held.agent_connections import AgentPeer
from endivetally_held.agent_connections import Connect
from endivetally_held.channel import HEARTBEAT_CHECK_S
from endivetally_held.channel import MESSAGE_AGE_LIMIT_S
from endivetally_held.containment import CrashContainment
from endivetally_held.dispatcher import TaskDispatcher
from endivetally_held.ending_runs import EndingRuns
from endivetally_held.guard import run_guarded
from endivetally_held.jobs import HeldJob
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_held.messages import RunEnded
from endivetally_held.messages import TargetCrashed
from endivetally_held.metrics import EntryMetrics
from endivetally_held.open_job import HeldTask
from endivetally_held.open_job import OpenJob
from endivetally_held.open_job import TaskState
from endivetally_held.session import LONGEST_STOP_S

TICK_INTERVAL_S: Final = 0.025
# Longest interval between the checks of an agent for silent entries.
SILENCE_CHECK_S: Final = 0.05
# After a connection ends, its agent may still handle messages that this entry has sent
# before, up to the age limit, and stops the runs of this entry then. If the agent is
# paused, the lease of the runs expires instead.
RERUN_WAIT_S: Final = MESSAGE_AGE_LIMIT_S + SILENCE_CHECK_S + LONGEST_STOP_S
# Delay before a refused task is sent again.
REFUSAL_RETRY_S: Final = 0.02
# Responses are sent this time before the caller's deadline.
RESPONSE_TIME_S: Final = 0.03
NO_SERVICE_RETRY_S: Final = 1
# Every data centre is emptied; a withdrawal takes effect at once.
NO_TARGET_RETRY_S: Final = 1
# A draining entry ends after this time without an open job. Callers with open
# connections send their next request within about a second.
IDLE_TIMEOUT_S: Final = 0.5
# Ended jobs whose run numbers are remembered: 20 s at 100 jobs a second. A resent job
# arrives within a few seconds of the end of the first copy.
REMEMBERED_JOBS: Final = 2000
DEFAULT_TASK_LIMIT: Final = OpenTaskLimit(20_000)
# Reasons of failed jobs.
ATTEMPTS_USED: Final = 'attempts_used'
CRASHES_TARGETS: Final = 'crashes_targets'


class HeldEntry(AgentListener):
    """Accepts held jobs and responds to each when its last task has ended.

    :param incarnation: identifies this process; a restarted entry has another one.
    :param seed: seed of the random times after which refused callers retry.
    :param connect: opens connections to agents.
    :param cold_overage: expected run time on a cold target relative to a warm one.
    :param task_limit: bounds the tasks of all open jobs.
    """

    def __init__(
        self,
        incarnation: str,
        data_centre: str,
        events: EventLog,
        metrics: EntryMetrics,
        clock: Callable[[], float] = monotonic_now,
        seed: int | None = None,
        connect: Connect | None = None,
        cold_overage: float = 1.0,
        task_limit: OpenTaskLimit = DEFAULT_TASK_LIMIT,
    ) -> None:
        self.config = VersionedConfig(0, OperatorConfig((), ()))
        self.connections = AgentConnections(
            incarnation, data_centre, self, events, clock, connect, cold_overage
        )
        self.containment = CrashContainment(self.connections, events, clock)
        self._services: dict[str, Service] = {}
        self._events = events
        self._metrics = metrics
        self._clock = clock
        self._random = random.Random(seed)
        self._competition = Competition()
        self._admission = JobAdmissionController(
            self.connections,
            events,
            self._random,
            self._competition,
            self.containment,
            task_limit,
        )
        self._pause_detector = PauseDetector(clock=clock)
        self._run_time_predictor = RunTimePredictor()
        self._open_jobs: dict[str, OpenJob] = {}
        self._ending_runs = EndingRuns(clock)
        self._dispatcher = TaskDispatcher(
            self._open_jobs,
            self._ending_runs,
            self.connections,
            data_centre,
            events,
            clock,
            self._competition,
            self.containment,
        )
        self._next_run_numbers: dict[str, int] = {}
        self._drain_until: float | None = None
        self._last_activity_at: float = 0
        self._closed = False
        self._reported_unready_reason = ''
        self._readiness_changed_at = clock()
        self._stack = AsyncExitStack()

    @property
    def open_job_count(self) -> int:
        """Number of jobs without a response."""
        return len(self._open_jobs)

    @property
    def readiness_age_s(self) -> float:
        """Seconds since the entry became ready, or unready for the current reason."""
        return self._clock() - self._readiness_changed_at

    async def __aenter__(self) -> Self:
        """Start the periodic work."""
        self._stack.callback(self.connections.close)
        ticker = asyncio.ensure_future(self._run_periodic_work())
        self._stack.callback(ticker.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop the periodic work and close the connections to agents."""
        await self._stack.aclose()

    def apply_config(self, config: VersionedConfig) -> bool:
        """Apply the operators' configuration, unless a newer or equal one is in force.

        Returns whether it was applied.
        """
        if config.version <= self.config.version:
            return False
        self.config = config
        self._services = {service.name: service for service in config.config.services}
        self._competition.apply_services(
            CompetingService(service.name, service.target_pool, service.priority)
            for service in config.config.services
        )
        self.containment.apply_services(config.config.services)
        self._events.emit(
            Event.CONFIG_APPLIED,
            version=config.version,
            services=len(config.config.services),
        )
        return True

    def unready_reason(self) -> str:
        """Return why callers should use another entry; empty when this one is ready."""
        if self._drain_until is not None:
            return 'draining'
        if self.config.version == 0:
            return 'no_text'
        return '' if self.connections.peers else 'no_agent'

    def count_pending(self, service: str) -> int:
        """Return the number of open jobs of a service that have not started."""
        return sum(
            open_job.service.name == service and not open_job.has_started
            for open_job in self._open_jobs.values()
        )

    async def submit(self, job: HeldJob) -> JobResponse:
        """Run a job and return the response to its caller.

        Several calls with the same job identifier share one job. When all of them are
        cancelled, the job is abandoned.
        """
        self._last_activity_at = self._clock()
        open_job = self._open_jobs.get(job.identifier)
        if open_job is None:
            service = self._services.get(job.service)
            if service is None:
                return JobResponse(JobResult.REFUSED, 'no_service', NO_SERVICE_RETRY_S)
            refusal = self._admission.find_task_refusal(
                job, service, self._open_jobs.values()
            )
            if refusal is not None:
                self._metrics.count_refusal(service, refusal)
                return refusal
            open_job = OpenJob(
                job,
                service,
                self._run_time_predictor,
                self._clock(),
                self._competition,
            )
            others = list(self._open_jobs.values())
            self._metrics.count_job(open_job, 'offered')
            if self.containment.find_guilty(open_job.tasks) is not None:
                self._assign_run_numbers(open_job)
                self._respond(open_job, JobResponse(JobResult.FAILED, CRASHES_TARGETS))
                return open_job.response.result()
            result = self._admission.decide(open_job, others, self._drain_time_left_s)
            if result.refusal is not None:
                self._metrics.count_job(open_job, 'refused', result.refusal.reason)
                self._metrics.count_response(open_job, result.refusal, 0)
                return result.refusal
            self._metrics.count_job(open_job, 'admitted')
            for each in result.displaced:
                self._metrics.count_job(each.open_job, 'displaced', 'overloaded')
                self._respond(each.open_job, each.response)
            open_job.has_former_run = self.containment.knows(open_job.tasks)
            self._assign_run_numbers(open_job)
            self._open_jobs[job.identifier] = open_job
            self._dispatcher.schedule_dispatch()
        return await self._wait_for_response(open_job)

    def agent_state_changed(self, peer: AgentPeer) -> None:
        """Dispatch tasks to the capacity that an agent reported."""
        self._dispatcher.schedule_dispatch()

    def run_ended(self, peer: AgentPeer, ended: RunEnded) -> None:
        """Handle the end of the newest run of a task, or of a run of a closed job."""
        self._ending_runs.record_end(ended.task, ended.run_number)
        open_job = self._open_jobs.get(ended.task.job)
        task = open_job.tasks.get(ended.task) if open_job else None
        if open_job is None or task is None:
            return
        is_current = (
            task.state is TaskState.SENT and task.run_number == ended.run_number
        )
        if is_current and task.agent == peer.name:
            self._handle_run_end(open_job, task, ended.end, ended.run_ms / 1000)

    def target_crashed(self, peer: AgentPeer, message: TargetCrashed) -> None:
        """Give up the jobs whose tasks have crashed their targets."""
        self.containment.record_crash(peer, message)
        job_ids = {row.task.job for row in message.runs}
        for job_id in job_ids:
            open_job = self._open_jobs.get(job_id)
            if open_job is None:
                continue
            open_job.has_former_run = True
            if self.containment.find_guilty(open_job.tasks) is not None:
                self._fail_job(open_job, CRASHES_TARGETS)
        self._dispatcher.schedule_dispatch()

    def agent_disconnected(self, peer: AgentPeer) -> None:
        """Requeue the agent's tasks, to run elsewhere once the old runs have ended."""
        for key in peer.active_tasks:
            open_job = self._open_jobs.get(key.job)
            task = open_job.tasks.get(key) if open_job else None
            if open_job is None or task is None or task.agent != peer.name:
                continue
            if task.state is TaskState.SENT:
                self._handle_run_end(open_job, task, RunEnd.UNREACHABLE, 0)
        runs_end_by = self._clock() + RERUN_WAIT_S
        self._ending_runs.record_lost_agent(peer.name, runs_end_by)
        for each in self._open_jobs.values():
            each.record_lost_agent(peer.name, runs_end_by)

    def begin_drain(self, timeout_s: float) -> None:
        """Continue to serve, but admit only jobs that can end before the process does.

        :param timeout_s: seconds until the process has to end.
        """
        self._drain_until = self._clock() + timeout_s

    async def finish_drain(self) -> None:
        """Wait until no jobs are open and none arrive, then refuse all new jobs.

        Jobs that are still open when the drain time is over are given up.
        """
        self._last_activity_at = self._clock()
        while self._clock() < (self._drain_until or 0):
            idle_s = self._clock() - self._last_activity_at
            if not self._open_jobs and idle_s > IDLE_TIMEOUT_S:
                break
            await asyncio.sleep(TICK_INTERVAL_S)
        self._closed = True
        for open_job in list(self._open_jobs.values()):
            self._give_up_job(open_job, 'draining', DRAIN_RETRY_S)

    async def _wait_for_response(self, open_job: OpenJob) -> JobResponse:
        open_job.waiter_count += 1
        try:
            return await asyncio.shield(open_job.response)
        finally:
            open_job.waiter_count -= 1
            if not open_job.waiter_count and not open_job.response.done():
                self._abandon_job(open_job)

    @property
    def _drain_time_left_s(self) -> float:
        if self._drain_until is None:
            return math.inf
        return 0 if self._closed else self._drain_until - self._clock()

    def _assign_run_numbers(self, open_job: OpenJob) -> None:
        """Number the runs of a resent job above those of its first copy."""
        first = self._next_run_numbers.get(open_job.job.identifier, 1)
        for task in open_job.tasks.values():
            task.run_number = first

    def _remove_job(self, open_job: OpenJob) -> None:
        self._last_activity_at = self._clock()
        self._open_jobs.pop(open_job.job.identifier, None)
        highest = max(task.run_number for task in open_job.tasks.values())
        self._next_run_numbers[open_job.job.identifier] = highest + 1
        if len(self._next_run_numbers) > REMEMBERED_JOBS:
            self._next_run_numbers.pop(next(iter(self._next_run_numbers)))
        self._ending_runs.add_runs_of(open_job)

    def _handle_run_end(
        self, open_job: OpenJob, task: HeldTask, end: RunEnd, run_s: float
    ) -> None:
        if end in NEVER_RAN:
            open_job.possible_run_count -= 1
            self._competition.record_started(
                open_job.service.name, -open_job.core_s(task), self._clock()
            )
        if end is RunEnd.REFUSED_DUPLICATE:
            open_job.has_former_run = True
        self._metrics.count_run_end(open_job.service.name, end)
        action = next_action(end)
        if action is NextAction.FINISH:
            open_job.record_done(task)
            self.containment.record_done(task.key)
            declared_s = task.step.estimate_s
            self._run_time_predictor.observe(
                open_job.service.name, declared_s, run_s, task.rate
            )
            if open_job.is_complete:
                self._respond(open_job, JobResponse(JobResult.COMPLETED))
            else:
                self._dispatcher.schedule_dispatch()
            return
        open_job.record_requeued(task)
        self._set_retry_conditions(task, action)
        if action is NextAction.COUNT_FAILURE:
            task.failure_count += 1
        if end not in _NEVER_REACHED_TARGET:
            task.run_number += 1
        self._events.emit(
            Event.TASK_REQUEUED,
            task=str(task.key),
            run=task.run_number,
            end=end.value,
            agent=task.agent,
            failures=task.failure_count,
            run_ms=int(run_s * 1000),
        )
        if task.failure_count >= open_job.service.attempts:
            self._fail_job(open_job, ATTEMPTS_USED)
        else:
            self._dispatcher.schedule_dispatch()

    def _set_retry_conditions(self, task: HeldTask, action: NextAction) -> None:
        now = self._clock()
        if action is NextAction.RETRY_AFTER_WAIT:
            task.not_before = now + RERUN_WAIT_S
        elif action is NextAction.RETRY_SOON:
            task.not_before = now + REFUSAL_RETRY_S
        elif action is NextAction.RETRY_THERE:
            task.not_before = now + REFUSAL_RETRY_S
            task.required_agent = task.agent
            return
        if action is not NextAction.RETRY_SOON:
            task.avoided_agents.add(task.agent)

    def _fail_job(self, open_job: OpenJob, reason: str) -> None:
        self._dispatcher.stop_job(open_job)
        self._respond(open_job, JobResponse(JobResult.FAILED, reason))

    def _give_up_job(
        self, open_job: OpenJob, reason: str, retry_after_s: int = 0
    ) -> None:
        """Stop a job that can't complete in time, and send the final response.

        :param retry_after_s: seconds after which a refused caller may retry; random
            by default.
        """
        self._dispatcher.stop_job(open_job)
        if open_job.may_have_run:
            response = JobResponse(JobResult.EXPIRED, reason)
        else:
            retry_after_s = retry_after_s or self._admission.find_retry_after_s(
                open_job, self._clock()
            )
            response = JobResponse(JobResult.REFUSED, reason, retry_after_s)
            self._metrics.count_job(open_job, 'refused', reason)
        self._respond(open_job, response)

    def _abandon_job(self, open_job: OpenJob) -> None:
        """Stop a job for which no caller waits any more."""
        self._dispatcher.stop_job(open_job)
        self._remove_job(open_job)
        age_s = self._clock() - open_job.arrived_at
        self._metrics.count_abandoned(open_job)
        self._events.emit(
            Event.JOB_ABANDONED,
            job=open_job.job.identifier,
            age_ms=int(age_s * 1000),
            touched=open_job.possible_run_count,
        )

    def _respond(self, open_job: OpenJob, response: JobResponse) -> None:
        self._remove_job(open_job)
        age_s = self._clock() - open_job.arrived_at
        self._metrics.count_response(open_job, response, age_s)
        self._events.emit(
            Event.JOB_ANSWERED,
            job=open_job.job.identifier,
            service=open_job.service.name,
            result=response.result.value,
            reason=response.reason,
            age_ms=int(age_s * 1000),
            objective_ms=int(open_job.objective_s * 1000),
            chain_ms=int(open_job.critical_path_s * 1000),
            touched=open_job.possible_run_count,
        )
        if not open_job.response.done():
            open_job.response.set_result(response)

    async def _run_periodic_work(self) -> None:
        last_heartbeat_at = self._clock()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            run_guarded(
                self._events,
                partial(
                    _check_pause, self._pause_detector, self.connections, self._events
                ),
                self._end_overdue_jobs,
                self._report_readiness,
            )
            if self._clock() - last_heartbeat_at >= HEARTBEAT_CHECK_S:
                last_heartbeat_at = self._clock()
                run_guarded(
                    self._events,
                    self.connections.send_heartbeats,
                    self._ending_runs.remove_expired,
                    self.containment.update,
                )
            run_guarded(self._events, self._dispatcher.schedule_dispatch)

    def _report_readiness(self) -> None:
        reason = self.unready_reason()
        if reason != self._reported_unready_reason:
            self._events.emit(
                Event.READINESS_CHANGED,
                reason=reason,
                former_reason=self._reported_unready_reason,
                after_ms=int(self.readiness_age_s * 1000),
                agents=len(self.connections.peers),
                text=self.config.version,
            )
            self._reported_unready_reason = reason
            self._readiness_changed_at = self._clock()

    def _end_overdue_jobs(self) -> None:
        now = self._clock()
        open_jobs = list(self._open_jobs.values())
        pools = {open_job.service.target_pool for open_job in open_jobs}
        emptied_pools = set(filter(self.connections.all_emptied, pools))
        for open_job in open_jobs:
            if now >= open_job.deadline_at - RESPONSE_TIME_S:
                self._give_up_job(open_job, 'deadline')
            elif _is_too_late(open_job, now, self.containment):
                self._give_up_job(
                    open_job, _find_wait_reason(self.connections, open_job)
                )
            elif _has_no_target(open_job, emptied_pools):
                self._give_up_job(open_job, 'no_target', NO_TARGET_RETRY_S)


def _is_too_late(open_job: OpenJob, now: float, containment: CrashContainment) -> bool:
    # A task that is held may be given up later, and then its job has failed.
    late = should_give_up(open_job.waiting_job, now)
    return late and not containment.holds(open_job.tasks)


def _find_wait_reason(connections: AgentConnections, open_job: OpenJob) -> str:
    peers = connections.find_accepting_peers(open_job.service.target_pool)
    return 'overloaded' if peers else 'no_target'


def _has_no_target(open_job: OpenJob, emptied_pools: Container[str]) -> bool:
    """Return whether no task has run and all targets are in emptied data centres."""
    return not open_job.may_have_run and open_job.service.target_pool in emptied_pools


def _check_pause(
    detector: PauseDetector, connections: AgentConnections, events: EventLog
) -> None:
    paused_s = detector.measure_pause()
    if paused_s:
        events.emit(Event.PROCESS_PAUSED, paused_ms=int(paused_s * 1000))
        # The agents have stopped the runs of this entry during the pause.
        connections.disconnect_all('paused')


_NEVER_REACHED_TARGET: Final = frozenset(
    (RunEnd.REFUSED_NO_CAPACITY, RunEnd.REFUSED_NOT_ACCEPTING, RunEnd.REFUSED_DUPLICATE)
)
