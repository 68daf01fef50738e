"""The agent's dealings with one life of its target: orders, looks, room, lease."""

import asyncio
from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Coroutine
from typing import Any
from typing import Final

from endivetally_core.clock import monotonic_now
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import ResourceReservations
from endivetally_policy.held import RunEnd
from endivetally_policy.held import TargetHealth

from endivetally_held.jobs import TaskKey
from endivetally_held.lease import LeaseTracker
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.runs import find_slowed
from endivetally_held.runs import lacks_end
from endivetally_held.runs import stands_still
from endivetally_held.target_client import ActiveRun
from endivetally_held.target_client import CommandResult
from endivetally_held.target_client import EndedRun
from endivetally_held.target_client import PollFailed
from endivetally_held.target_client import PollResult
from endivetally_held.target_client import TargetClient
from endivetally_held.target_client import TargetReport
from endivetally_held.target_client import TargetSessionLost

# Longest wait of a look: the lease is renewed three times over.
LOOK_WAIT_S: Final = 0.2
# Time for an answer beyond the wait; an answer takes a few milliseconds.
LOOK_GRACE_S: Final = 0.25
STOP_RETRY_S: Final = 0.1
LOOK_RETRY_S: Final = 0.05


class SessionListener(ABC):
    """Told what happens to the runs of a session."""

    @abstractmethod
    def run_ended(self, run: Run, end: RunEnd, run_s: float) -> None:
        """Take in the end of an attempt; nothing of it is left."""

    @abstractmethod
    def room_changed(self) -> None:
        """Take in that room or the right to start has changed."""

    @abstractmethod
    def target_replaced(self, *, ended: bool) -> None:
        """Take in that this life of the target takes no orders from here.

        :param ended: the life is over; else it follows a newer token.
        """


class TargetSession:
    """Runs tasks at one life of a target and keeps its lease.

    :param target: takes the orders.
    :param report: its first report.
    """

    def __init__(
        self,
        target: TargetClient,
        report: TargetReport,
        listener: SessionListener,
        events: EventLog,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        self.report = report
        self.health = TargetHealth()
        self.room = ResourceReservations(report.capacity)
        self.adopted = False
        self._target = target
        self._listener = listener
        self._events = events
        self._clock = clock
        self._lease = LeaseTracker(report.clock_ms, clock)
        self._runs: dict[TaskKey, Run] = {}
        self._seen = 0
        self._unanswered_looks = 0
        self._tasks: set[asyncio.Future[None]] = set()
        self._closed = False

    @property
    def accepting(self) -> bool:
        """Whether the target may be told to start tasks."""
        return self.adopted and not self.report.draining and self._lease.in_contact

    @property
    def running(self) -> int:
        """Attempts that hold room."""
        return len(self._runs)

    def may_start(self) -> bool:
        """Whether another task may start now, room aside."""
        return self.accepting and self.health.may_start(len(self._runs), self._clock())

    def holds(self, task: TaskKey) -> bool:
        """Whether an attempt at the task has not ended here."""
        return task in self._runs

    def begin(self) -> None:
        """Start to look at the target."""
        self._spawn(self._watch())

    async def close(self) -> None:
        """Give no more orders; the target's lease ends by itself."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        await self._target.close()

    def start(self, run: Run) -> bool:
        """Start an attempt if it fits, without waiting for the answer."""
        if not self.may_start() or not self.room.reserve(run.task, run.need):
            return False
        run.state = RunState.STARTING
        run.asked_at = self._clock()
        run.moved_at = run.asked_at
        self._runs[run.task] = run
        self._spawn(self._order_start(run))
        return True

    def stop(self, run: Run, end: RunEnd = RunEnd.STOPPED) -> None:
        """Stop an attempt; its end is told once it is certain."""
        if run.state not in {RunState.STARTING, RunState.RUNNING}:
            return
        starting = run.state is RunState.STARTING
        run.state = RunState.STOPPING
        run.stop_end = end
        if not starting:
            self._spawn(self._order_stop(run))

    def stop_owned(self, owner: str, tasks: Container[TaskKey] | None = None) -> None:
        """Stop what an entry ordered.

        :param tasks: only these; all by default.
        """
        for run in list(self._runs.values()):
            if run.owner == owner and (tasks is None or run.task in tasks):
                self.stop(run)

    def end_all(self, end: RunEnd) -> None:
        """Tell the end of every attempt, when nothing can be left of them."""
        for run in list(self._runs.values()):
            self._finish(run, end)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _order_start(self, run: Run) -> None:
        answer = await self._target.start_run(
            run.task, run.number, run.payload, self._lease.renew()
        )
        if answer.result is not CommandResult.UNANSWERED:
            self._lease.note_answer(answer.clock_ms)
        if run.state is RunState.ENDED:
            return
        run.settled_at = self._clock()
        if answer.result is CommandResult.ACCEPTED:
            run.seen = True
            if run.state is RunState.STOPPING:
                await self._order_stop(run)
                return
            run.state = RunState.RUNNING
            self._events.emit(
                Event.RUN_STARTED,
                task=str(run.task),
                run=run.number,
                took_ms=_milliseconds(run.settled_at - run.asked_at),
            )
        elif answer.result is CommandResult.UNANSWERED:
            self._events.emit(
                Event.COMMAND_UNANSWERED, order='start', task=str(run.task)
            )
            if run.state is RunState.STARTING:
                run.state = RunState.STOPPING
                run.stop_end = RunEnd.REFUSED_TARGET
            await self._order_stop(run)
        else:
            await self._refused(run, answer.result)

    async def _refused(self, run: Run, end: CommandResult) -> None:
        self._events.emit(
            Event.RUN_REFUSED, task=str(run.task), run=run.number, reason=end.value
        )
        if end is CommandResult.UNHEALTHY and self.health.record_failure(
            run.task.job, self._clock()
        ):
            self._tell_standing()
        self._finish(run, _REFUSALS.get(end, RunEnd.REFUSED_TARGET))
        if end in {CommandResult.FENCED, CommandResult.WRONG_INSTANCE}:
            await self._replaced(ended=end is CommandResult.WRONG_INSTANCE)

    async def _order_stop(self, run: Run) -> None:
        """Repeat the order until it is answered or the attempt has ended."""
        while run.state is not RunState.ENDED:
            answer = await self._target.stop_run(run.task, run.number, self._lease.bare)
            if answer.result is CommandResult.ACCEPTED:
                self._lease.note_answer(answer.clock_ms)
                run.settled_at = self._clock()
                return
            if answer.result in {CommandResult.FENCED, CommandResult.WRONG_INSTANCE}:
                await self._replaced(
                    ended=answer.result is CommandResult.WRONG_INSTANCE
                )
                return
            self._events.emit(
                Event.COMMAND_UNANSWERED, order='stop', task=str(run.task)
            )
            await asyncio.sleep(STOP_RETRY_S)

    async def _watch(self) -> None:
        while not self._closed:
            asked_at = self._clock()
            try:
                sighting = await self._look()
            except PollFailed as error:
                await self._unanswered(str(error))
                continue
            except TargetSessionLost as error:
                await self._replaced(ended=error.target_ended)
                return
            if self._unanswered_looks > 1:
                self._listener.room_changed()
            self._unanswered_looks = 0
            self._take_in(sighting, asked_at)
            if not self.adopted:
                await asyncio.sleep(LOOK_RETRY_S)

    async def _look(self) -> PollResult:
        if not self.adopted:
            return await self._target.poll(
                self._lease.bare, self._seen, 0, LOOK_GRACE_S
            )
        # A target that carries out looks without answering must not keep runs
        # alive that nobody watches.
        quiet = self._unanswered_looks > 1
        lease = self._lease.bare if quiet else self._lease.renew()
        hurried = self._unanswered_looks or any(map(lacks_end, self._runs.values()))
        wait_s = 0 if hurried else LOOK_WAIT_S
        return await self._target.poll(lease, self._seen, wait_s, wait_s + LOOK_GRACE_S)

    async def _unanswered(self, reason: str) -> None:
        self._unanswered_looks += 1
        if self._unanswered_looks == 2:
            self._events.emit(
                Event.TARGET_UNRESPONSIVE,
                target=self.report.target_id,
                reason=reason,
                running=len(self._runs),
                answered_ms_ago=_milliseconds(self._lease.answered_s_ago),
            )
            self._listener.room_changed()
        if self._runs and not self._lease.left_s:
            self.end_all(RunEnd.LAPSED)
        await asyncio.sleep(LOOK_RETRY_S)

    async def _replaced(self, *, ended: bool) -> None:
        if self._closed:
            return
        self._closed = True
        self._events.emit(
            Event.TARGET_LEFT,
            target=self.report.target_id,
            reason='other_target' if ended else 'fenced',
        )
        if not ended:
            await asyncio.sleep(self._lease.left_s)
        self._listener.target_replaced(ended=ended)

    def _take_in(self, sighting: PollResult, asked_at: float) -> None:
        self._lease.note_answer(sighting.clock_ms)
        for ended in sighting.ended:
            if ended.sequence > self._seen:
                self._seen = ended.sequence
                self._take_in_end(ended)
        for running in sighting.running:
            self._take_in_running(running)
        self._move_slowed()
        self._end_missing(sighting, asked_at)
        if not self.adopted and not sighting.running:
            self.adopted = True
            self._listener.room_changed()

    def _end_missing(self, sighting: PollResult, asked_at: float) -> None:
        """End the runs that were settled before a look and are not listed."""
        listed = {(each.task, each.run_number) for each in sighting.running}
        for run in list(self._runs.values()):
            settled = run.settled_at and run.settled_at < asked_at
            if settled and (run.task, run.number) not in listed:
                self._finish(run, RunEnd.LOST if run.seen else run.stop_end)

    def _take_in_end(self, ended: EndedRun) -> None:
        run = self._runs.get(ended.task)
        if run is None or run.number != ended.run_number:
            return
        run_s = self._clock() - run.asked_at
        if ended.end is RunEnd.STOPPED and run.state is RunState.STOPPING:
            self._finish(run, _seen_end(run.stop_end), run_s)
            return
        if ended.end is RunEnd.DONE:
            changed = self.health.record_success(run_s, run.expected_s)
        else:
            failed = ended.end is RunEnd.FAILED
            changed = failed and self.health.record_failure(run.task.job, self._clock())
        if changed:
            self._tell_standing()
        self._finish(run, ended.end, run_s)

    def _take_in_running(self, running: ActiveRun) -> None:
        run = self._runs.get(running.task)
        if run is None or run.number != running.run_number:
            # Left by an earlier life of this agent, or started late.
            self._spawn(self._stop_stray(running))
            return
        run.seen = True
        now = self._clock()
        if running.progress_percent > run.percent:
            run.percent = running.progress_percent
            run.moved_at = now
        if run.state is RunState.RUNNING and stands_still(run, now):
            self._move(run, now, 'stalled')

    def _move_slowed(self) -> None:
        now = self._clock()
        working = [run for run in self._runs.values() if run.state is RunState.RUNNING]
        for run in find_slowed(working, now):
            self._move(run, now, 'slow')

    def _move(self, run: Run, now: float, reason: str) -> None:
        self._events.emit(
            Event.RUN_STOPPED,
            task=str(run.task),
            run=run.number,
            reason=reason,
            percent=run.percent,
            elapsed_ms=_milliseconds(now - run.asked_at),
            expected_ms=_milliseconds(run.expected_s),
        )
        if self.health.record_failure(run.task.job, now):
            self._tell_standing()
        self.stop(run, RunEnd.STALLED)

    async def _stop_stray(self, running: ActiveRun) -> None:
        self._events.emit(
            Event.RUN_STOPPED,
            task=str(running.task),
            run=running.run_number,
            reason='stray',
        )
        await self._target.stop_run(running.task, running.run_number, self._lease.bare)

    def _tell_standing(self) -> None:
        self._events.emit(
            Event.TARGET_HEALTH_CHANGED,
            target=self.report.target_id,
            standing=self.health.state.value,
            pace=round(self.health.slowdown, 2),
        )
        self._listener.room_changed()

    def _finish(self, run: Run, end: RunEnd, run_s: float = 0) -> None:
        if run.state is RunState.ENDED:
            return
        run.state = RunState.ENDED
        self._runs.pop(run.task, None)
        self.room.release(run.task)
        self._listener.run_ended(run, end, run_s)


_REFUSALS: Final = {
    CommandResult.STALE_RUN: RunEnd.REFUSED_RUN,
    CommandResult.TOO_LATE: RunEnd.REFUSED_ORDER,
    CommandResult.NO_CAPACITY: RunEnd.REFUSED_ROOM,
    CommandResult.MALFORMED: RunEnd.REFUSED_ORDER,
}


def _seen_end(end: RunEnd) -> RunEnd:
    """Return the end of a run that was listed: it can't have been refused."""
    return RunEnd.STOPPED if end is RunEnd.REFUSED_TARGET else end


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
