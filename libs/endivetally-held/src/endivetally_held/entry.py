"""The entry of the held path: wires queue, placing, refusing and links."""

import asyncio
import math
import random
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import AsyncExitStack
from typing import Final
from typing import Self

from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import VersionedConfig
from endivetally_core.clock import PauseDetector
from endivetally_core.clock import monotonic_now
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import NextAction
from endivetally_policy.held import RunEnd
from endivetally_policy.held import RunTimePredictor
from endivetally_policy.held import next_action
from endivetally_policy.held import should_abandon
from endivetally_policy.held.attempts import NEVER_RAN

from endivetally_held.admission import Intake
from endivetally_held.agent_connections import AgentConnections
from endivetally_held.agent_connections import AgentListener
from endivetally_held.agent_connections import AgentPeer
from endivetally_held.agent_connections import Connect
from endivetally_held.channel import HEARTBEAT_S
from endivetally_held.channel import SILENCE_LIMIT_S
from endivetally_held.dispatcher import Placer
from endivetally_held.jobs import HeldJob
from endivetally_held.jobs import JobAnswer
from endivetally_held.jobs import JobResult
from endivetally_held.lease import LEASE_MARGIN
from endivetally_held.lease import LEASE_MS
from endivetally_held.messages import Alive
from endivetally_held.messages import RunEnded
from endivetally_held.metrics import EntryMetrics
from endivetally_held.open_job import HeldTask
from endivetally_held.open_job import Holding
from endivetally_held.open_job import TaskState

TICK_S: Final = 0.025
# After the end of a link its agent stops our runs once it has heard nothing for
# the silence limit; if it then stands still too, their lease ends. The rest is
# for looks at clocks and the stop itself.
RERUN_WAIT_S: Final = SILENCE_LIMIT_S + LEASE_MS / 1000 * LEASE_MARGIN + 0.3
# Delay before a refused task is sent again.
REFUSED_DELAY_S: Final = 0.02
# Answers leave this long before the caller's deadline.
ANSWER_TIME_S: Final = 0.03
NO_AGENT_RETRY_S: Final = 1
# Callers with open connections send the next request within a second or so; an
# entry that leaves waits for it so long.
QUIET_S: Final = 0.5
# Ended jobs whose run numbers are remembered: 20 s at 100 jobs a second; a copy
# of a job arrives within a few seconds of its end.
REMEMBERED_JOBS: Final = 2000


class HeldEntry(AgentListener):
    """Takes held jobs and answers each when its last task has ended.

    :param incarnation: name of this start of the process.
    :param seed: of the spread of returning callers.
    :param connect: opens connections to agents.
    """

    def __init__(
        self,
        incarnation: str,
        data_centre: str,
        events: EventLog,
        measures: EntryMetrics,
        clock: Callable[[], float] = monotonic_now,
        seed: int | None = None,
        connect: Connect | None = None,
    ) -> None:
        self.configuration = VersionedConfig(0, OperatorConfig((), ()))
        self.connections = AgentConnections(
            incarnation, data_centre, self, events, clock, connect
        )
        self._events = events
        self._measures = measures
        self._clock = clock
        self._random = random.Random(seed)
        self._intake = Intake(self.connections, events, self._random)
        self._pauses = PauseDetector(clock=clock)
        self._expected = RunTimePredictor()
        self._holdings: dict[str, Holding] = {}
        self._placer = Placer(
            self._holdings, self.connections, data_centre, events, clock
        )
        self._next_runs: dict[str, int] = {}
        self._drain_until: float | None = None
        self._busy_at: float = 0
        self._closed = False
        self._told_unready = ''
        self._stack = AsyncExitStack()

    @property
    def open_job_count(self) -> int:
        """Jobs without an answer."""
        return len(self._holdings)

    async def __aenter__(self) -> Self:
        """Start the periodic work."""
        self._stack.callback(self.connections.close)
        ticker = asyncio.ensure_future(self._tick())
        self._stack.callback(ticker.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """End the links."""
        await self._stack.aclose()

    def apply_configuration(self, text: VersionedConfig) -> bool:
        """Put a text in force, unless it is older than the one in force."""
        if text.version <= self.configuration.version:
            return False
        self.configuration = text
        self._events.emit(
            Event.CONFIG_APPLIED,
            version=text.version,
            services=len(text.config.services),
        )
        return True

    def unready_reason(self) -> str:
        """Return why no callers should be sent here, or nothing."""
        if self._drain_until is not None:
            return 'draining'
        if self.configuration.version == 0:
            return 'no_text'
        return '' if self.connections.peers else 'no_agent'

    def count_pending(self, service: str) -> int:
        """Return the number of jobs of which no task was sent."""
        return sum(
            holding.service.name == service and not holding.begun
            for holding in self._holdings.values()
        )

    async def submit(self, job: HeldJob) -> JobAnswer:
        """Run a job and return its answer.

        A cancelled call abandons the job, unless another call waits for it.
        """
        self._busy_at = self._clock()
        holding = self._holdings.get(job.identifier)
        if holding is None:
            service = self.configuration.config.find_service(job.service)
            if service is None:
                return JobAnswer(JobResult.REFUSED, 'no_service', NO_AGENT_RETRY_S)
            holding = Holding(job, service, self._expected, self._clock())
            others = list(self._holdings.values())
            refusal = self._intake.refusal(holding, others, self._time_left_s)
            if refusal is not None:
                self._measures.answered(holding, refusal, 0)
                return refusal
            self._number_runs(holding)
            self._holdings[job.identifier] = holding
            self._placer.place_soon()
        return await self._wait(holding)

    def agent_changed(self, peer: AgentPeer) -> None:
        """Use the room that an agent told."""
        self._placer.place_soon()

    def attempt_ended(self, peer: AgentPeer, ended: RunEnded) -> None:
        """Take in the end of an attempt."""
        holding = self._holdings.get(ended.task.job)
        task = holding.tasks.get(ended.task) if holding else None
        if holding is None or task is None:
            return
        current = task.state is TaskState.SENT and task.run == ended.run
        if current and task.agent == peer.name:
            self._end_attempt(holding, task, ended.end, ended.run_ms / 1000)

    def agent_lost(self, peer: AgentPeer) -> None:
        """Run its tasks elsewhere once nothing of them can be left."""
        for key in peer.tasks:
            holding = self._holdings.get(key.job)
            task = holding.tasks.get(key) if holding else None
            if holding is None or task is None or task.agent != peer.name:
                continue
            if task.state is TaskState.SENT:
                self._end_attempt(holding, task, RunEnd.UNREACHABLE, 0)

    def begin_drain(self, limit_s: float) -> None:
        """Go on serving, but take only what ends within a time.

        :param limit_s: seconds until the process has to end.
        """
        self._drain_until = self._clock() + limit_s

    async def finish_drain(self) -> None:
        """Answer what is open and what callers still send, and give up the rest."""
        self._busy_at = self._clock()
        while self._clock() < (self._drain_until or 0):
            idle_s = self._clock() - self._busy_at
            if not self._holdings and idle_s > QUIET_S:
                break
            await asyncio.sleep(TICK_S)
        self._closed = True
        for holding in list(self._holdings.values()):
            self._give_up(holding, 'draining')

    async def _wait(self, holding: Holding) -> JobAnswer:
        holding.waiters += 1
        try:
            return await asyncio.shield(holding.answered)
        finally:
            holding.waiters -= 1
            if not holding.waiters and not holding.answered.done():
                self._abandon(holding)

    @property
    def _time_left_s(self) -> float:
        if self._drain_until is None:
            return math.inf
        return 0 if self._closed else self._drain_until - self._clock()

    def _number_runs(self, holding: Holding) -> None:
        """Number the runs of a job that comes again above those that it had."""
        first = self._next_runs.get(holding.job.identifier, 1)
        for task in holding.tasks.values():
            task.run = first

    def _forget(self, holding: Holding) -> None:
        self._busy_at = self._clock()
        self._holdings.pop(holding.job.identifier, None)
        highest = max(task.run for task in holding.tasks.values())
        self._next_runs[holding.job.identifier] = highest + 1
        if len(self._next_runs) > REMEMBERED_JOBS:
            self._next_runs.pop(next(iter(self._next_runs)))

    def _end_attempt(
        self, holding: Holding, task: HeldTask, end: RunEnd, run_s: float
    ) -> None:
        if end in NEVER_RAN:
            holding.touched -= 1
        self._measures.attempt_ended(holding.service.name, end)
        followed = next_action(end)
        if followed is NextAction.FINISH:
            holding.note_done(task)
            declared_s = task.step.estimate_s
            self._expected.observe(holding.service.name, declared_s, run_s)
            if holding.complete:
                self._answer(holding, JobAnswer(JobResult.COMPLETED))
            else:
                self._placer.place_soon()
            return
        holding.note_waiting(task)
        self._delay(task, followed)
        if followed is NextAction.COUNT_FAILURE:
            task.failures += 1
        if end not in _NEVER_SENT:
            task.run += 1
        self._events.emit(
            Event.TASK_REQUEUED,
            task=str(task.key),
            run=task.run,
            end=end.value,
            agent=task.agent,
            failures=task.failures,
            run_ms=int(run_s * 1000),
        )
        if task.failures >= holding.service.attempts:
            self._finish_failed(holding)
        else:
            self._placer.place_soon()

    def _delay(self, task: HeldTask, followed: NextAction) -> None:
        now = self._clock()
        if followed is NextAction.RETRY_AFTER_WAIT:
            task.not_before = now + RERUN_WAIT_S
        elif followed is NextAction.RETRY_SOON:
            task.not_before = now + REFUSED_DELAY_S
        if followed is not NextAction.RETRY_SOON:
            task.avoid.add(task.agent)

    def _finish_failed(self, holding: Holding) -> None:
        self._placer.stop(holding)
        self._answer(holding, JobAnswer(JobResult.FAILED, 'attempts_used'))

    def _give_up(self, holding: Holding, reason: str) -> None:
        """Give the final answer to a job that will not be whole in time."""
        self._placer.stop(holding)
        if holding.touched:
            answer = JobAnswer(JobResult.EXPIRED, reason)
        else:
            retry_after_s = 1 + int(self._random.random() * 2)
            answer = JobAnswer(JobResult.REFUSED, reason, retry_after_s)
        self._answer(holding, answer)

    def _abandon(self, holding: Holding) -> None:
        """Stop the work for a caller that is gone."""
        self._placer.stop(holding)
        self._forget(holding)
        age_s = self._clock() - holding.arrived_at
        self._measures.abandoned(holding)
        self._events.emit(
            Event.JOB_ABANDONED,
            job=holding.job.identifier,
            age_ms=int(age_s * 1000),
            touched=holding.touched,
        )

    def _answer(self, holding: Holding, answer: JobAnswer) -> None:
        self._forget(holding)
        age_s = self._clock() - holding.arrived_at
        self._measures.answered(holding, answer, age_s)
        self._events.emit(
            Event.JOB_ANSWERED,
            job=holding.job.identifier,
            service=holding.service.name,
            result=answer.result.value,
            reason=answer.reason,
            age_ms=int(age_s * 1000),
            objective_ms=int(holding.objective_s * 1000),
            chain_ms=int(holding.chain_s * 1000),
            touched=holding.touched,
        )
        if not holding.answered.done():
            holding.answered.set_result(answer)

    async def _tick(self) -> None:
        beat_at = self._clock()
        while True:
            await asyncio.sleep(TICK_S)
            paused_s = self._pauses.measure_pause()
            if paused_s:
                self._events.emit(Event.PROCESS_PAUSED, paused_ms=int(paused_s * 1000))
                # The agents have stopped our runs meanwhile.
                self.connections.lose_all('paused')
            now = self._clock()
            self._expire(now, list(self._holdings.values()))
            self._tell_readiness()
            if now - beat_at >= HEARTBEAT_S:
                beat_at = now
                self.connections.beat(Alive())
            self._placer.place_soon()

    def _tell_readiness(self) -> None:
        reason = self.unready_reason()
        if reason != self._told_unready:
            self._told_unready = reason
            self._events.emit(
                Event.READINESS_CHANGED,
                reason=reason,
                agents=len(self.connections.peers),
                text=self.configuration.version,
            )

    def _wait_reason(self, holding: Holding) -> str:
        able = self.connections.peers_of(holding.service.target_pool)
        return 'overloaded' if able else 'no_target'

    def _expire(self, now: float, holdings: Iterable[Holding]) -> None:
        for holding in holdings:
            if now >= holding.deadline_at - ANSWER_TIME_S:
                self._give_up(holding, 'deadline')
            elif should_abandon(holding.in_queue, now):
                self._give_up(holding, self._wait_reason(holding))


_NEVER_SENT: Final = frozenset(
    (RunEnd.REFUSED_ROOM, RunEnd.REFUSED_CLOSED, RunEnd.REFUSED_PRESENT)
)
