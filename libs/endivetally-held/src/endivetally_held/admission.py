"""Admission of held jobs at an entry."""

import random
from collections.abc import Iterable
from typing import Final

from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import AdmissionVerdict
from endivetally_policy.held import HeldAdmissionController
from endivetally_policy.held import Load
from endivetally_policy.held import Work

from endivetally_held.agent_connections import AgentConnections
from endivetally_held.jobs import JobResponse
from endivetally_held.jobs import JobResult
from endivetally_held.open_job import Holding

# While draining, a job is taken if so many times its run time is left.
DRAIN_FACTOR: Final = 1.5
# Another entry takes the job at once.
DRAIN_RETRY_S: Final = 1


class Intake:
    """Refuses at once the jobs that can't be answered in time.

    :param links: tell the room of the targets.
    :param rng: spreads the return of callers.
    """

    def __init__(
        self, links: AgentConnections, events: EventLog, rng: random.Random
    ) -> None:
        self._links = links
        self._events = events
        self._random = rng
        self._admission = HeldAdmissionController()

    def refusal(
        self, holding: Holding, others: Iterable[Holding], time_left_s: float
    ) -> JobResponse | None:
        """Return the refusal of a job, or ``None`` when it is admitted.

        :param others: jobs that are held already.
        :param time_left_s: seconds until the process ends.
        """
        load = self._load(holding, others)
        jitter = self._random.random()
        admission = self._admission.decide(load, holding.slack_s, jitter=jitter)
        reason = admission.verdict.value
        retry_after_s = admission.retry_after_s
        if admission.verdict is AdmissionVerdict.ADMITTED:
            if time_left_s >= holding.chain_s * DRAIN_FACTOR:
                self._note_admitted(holding, admission.wait_s)
                return None
            reason = 'draining'
            retry_after_s = DRAIN_RETRY_S
        self._events.emit(
            Event.JOB_REFUSED,
            job=holding.job.identifier,
            service=holding.service.name,
            reason=reason,
            wait_ms=int(admission.wait_s * 1000),
            slack_ms=int(holding.slack_s * 1000),
            ahead_core_s=round(load.work_ahead.core_s, 2),
            job_core_s=round(load.job_work.core_s, 2),
            capacity=load.capacity_cores,
            free=load.free_cores,
            entries=load.entry_count,
            running=round(load.running_cores, 1),
            joining=load.joining_targets,
        )
        return JobResponse(JobResult.REFUSED, reason, retry_after_s)

    def _note_admitted(self, holding: Holding, wait_s: float) -> None:
        self._events.emit(
            Event.JOB_RECEIVED,
            job=holding.job.identifier,
            service=holding.service.name,
            tasks=len(holding.tasks),
            wait_ms=int(wait_s * 1000),
            slack_ms=int(holding.slack_s * 1000),
        )

    def _load(self, holding: Holding, others: Iterable[Holding]) -> Load:
        peers = self._links.peers_of(holding.service.target_pool)
        sharing = [
            other
            for other in others
            if other.service.target_pool == holding.service.target_pool
        ]
        before = [
            other.waiting_work
            for other in sharing
            if other.begun or other.start_by <= holding.start_by
        ]
        rooms = [peer.room for peer in peers]
        capacity = sum(room.capacity.cpu for room in rooms) / 1000
        joining = self._links.awaited
        return Load(
            work_ahead=Work(
                sum(work.cores for work in before),
                sum(work.core_s for work in before),
            ),
            job_work=holding.waiting_work,
            capacity_cores=capacity + joining * capacity / max(len(rooms), 1),
            free_cores=sum(max(room.free.cpu - room.backlog_cpu, 0) for room in rooms)
            / 1000,
            entry_count=max((peer.entries for peer in peers), default=1),
            fits_a_target=all(
                any(room.capacity.covers(step.need) for room in rooms)
                for step in holding.job.steps
            ),
            running_cores=sum(other.running_cores for other in sharing),
            joining_targets=joining,
        )
