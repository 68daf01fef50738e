"""In-memory stand-in for a target of the held path, with faults that tests inject."""

import asyncio
import contextvars
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from endivetally_held.jobs import TaskKey
from endivetally_held.target_client import ActiveRun
from endivetally_held.target_client import CommandResponse
from endivetally_held.target_client import CommandResult
from endivetally_held.target_client import EndedRun
from endivetally_held.target_client import FencedLease
from endivetally_held.target_client import PollFailed
from endivetally_held.target_client import PollResult
from endivetally_held.target_client import TargetClient
from endivetally_held.target_client import TargetClientFactory
from endivetally_held.target_client import TargetReport
from endivetally_held.target_client import TargetSessionLost
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd

MAX_LEASE_MS = 1000
# How long a run goes on after the command to stop it.
STOP_DELAY_S = 0.05
CALL_LATENCY_S = 0.001
# Time after which a command without a response is reported as unanswered.
UNANSWERED_DELAY_S = 0.3
CLOCK_START_MS = 100_000
# Shortest and longest delay after which an unanswered command is carried out.
LATE_COMMAND_DELAY_S = (2.0, 12.0)
# A smaller capacity holds for starts after `contactMs` and one report of the platform.
CAPACITY_GRACE_S = 4.5
# Time from the start of a task that crashes its target to the crash.
CRASH_DELAY_S = 0.03


@dataclass(slots=True)
class RecordedRun:
    """A run of a task at a target.

    :param target: identifier of the target instance.
    :param started_at: time of the event loop, in seconds.
    :param ended_at: time of the event loop; ``None`` while the run is active.
    :param end: how the run ended; ``None`` while it is active.
    """

    task: TaskKey
    run_number: int
    target: str
    started_at: float
    ended_at: float | None = None
    end: RunEnd | None = None


@dataclass(slots=True)
class TargetFaults:
    """Faults that a test injects.

    :param unanswered_share: share of the commands that get no response and are
        carried out later.
    :param late_command_delay_s: shortest and longest delay of these commands.
    :param start_delay_s: seconds after which each start is carried out; it gets a
        response only if this is shorter than the time-out of commands.
    :param stop_delay_s: the same for stops.
    :param start_answers_lost: starts are carried out at once without a response.
    :param unresponsive: no poll gets a response and all commands are treated as
        unanswered; active runs continue.
    :param runs_fail: runs fail when their run time is over.
    :param runs_hang: runs that start make no progress and do not end by themselves.
    :param run_time_factor: factor by which the run times of tasks are multiplied.
    """

    unanswered_share: float = 0
    late_command_delay_s: tuple[float, float] = LATE_COMMAND_DELAY_S
    start_delay_s: float = 0
    stop_delay_s: float = 0
    start_answers_lost: bool = False
    unresponsive: bool = False
    runs_fail: bool = False
    runs_hang: bool = False
    run_time_factor: float = 1


@dataclass(slots=True)
class _RunState:
    """State of an active run.

    :param end_timer: ends the run; ``None`` if it hangs.
    """

    record: RecordedRun
    run_time_s: float
    started_at: float
    end_timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class RunHistory:
    """All runs at all targets, and how tasks behave.

    :param get_run_time_s: returns the run time of a task, in seconds.
    :param get_resources: returns the resources that a task needs.
    :param task_fails: returns whether a task fails at every target.
    :param crashes_target: returns whether a task crashes every target that starts it.
    :param crash_target: crashes a target, and starts another instance later.
    :param runs: all runs in the order of their starts.
    :param violations: concurrent runs of one task, and targets whose runs exceeded
        their capacity.
    :param targets: target instances that have not ended. Before a start is checked,
        they end runs whose lease has expired, as the event loop may be late to do so.
    """

    get_run_time_s: Callable[[TaskKey], float]
    get_resources: Callable[[TaskKey], Resources]
    task_fails: Callable[[TaskKey], bool] = lambda task: False
    crashes_target: Callable[[TaskKey], bool] = lambda task: False
    crash_target: Callable[['HeldTargetStandIn'], None] = lambda target: target.crash()
    runs: list[RecordedRun] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    targets: list['HeldTargetStandIn'] = field(default_factory=list)
    _runs_by_task: dict[TaskKey, list[RecordedRun]] = field(default_factory=dict)

    def get_runs(self, task: TaskKey) -> list[RecordedRun]:
        """Return the runs of a task, in order of their starts."""
        return self._runs_by_task.get(task, [])

    def record_start(self, record: RecordedRun) -> None:
        """Record a start, and a violation if another run of the task is active."""
        for target in self.targets:
            target.end_expired_runs()
        task_runs = self._runs_by_task.setdefault(record.task, [])
        for other in task_runs:
            if other.ended_at is None:
                self.violations.append(f'twice: {record} beside {other}')
        task_runs.append(record)
        self.runs.append(record)


class HeldTargetStandIn(TargetClient):
    """An instance of a target; a restarted target is another instance.

    Its clock is independent of the event loop's and may run at another rate. Commands
    with a lower fencing token than the highest one seen are rejected. Commands and
    polls reach the instance that has the identifier when they are carried out.

    :param history: records the runs, and defines how tasks behave.
    :param clock_rate: seconds that its clock advances in a second of the event loop.
    :param seed: seeds the choice of unanswered commands, and their delays.
    :param born_ms: Unix time of its start; ``None`` if it does not send it.
    :param clock_start_ms: its clock at its start.
    """

    def __init__(
        self,
        target_id: str,
        capacity: Resources,
        history: RunHistory,
        *,
        clock_rate: float = 1,
        seed: int = 0,
        born_ms: int | None = None,
        clock_start_ms: int = CLOCK_START_MS,
    ) -> None:
        self.faults = TargetFaults()
        self.report = TargetReport(
            target_id, 'pool', 'nowhere:1', capacity, False, 0, 0, born_ms
        )
        self.has_ended = False
        # Whether the target starts again under the same identifier.
        self.restarts = False
        self._next_instance: HeldTargetStandIn | None = None
        self._clock_start_ms = clock_start_ms
        self._seed = seed
        self._history = history
        self._clock_rate = clock_rate
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._context = contextvars.copy_context()
        self._created_at = self._loop.time()
        self._highest_token = 0
        self._lease_expires_at_ms = 0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._active_runs: dict[TaskKey, _RunState] = {}
        self._highest_run_numbers: dict[TaskKey, int] = {}
        self._unacknowledged_ends: list[EndedRun] = []
        self._end_count = 0
        self._run_has_ended = asyncio.Event()
        self._capacity_changed_at = self._created_at
        # Times until which starts may fill former capacities.
        self._former_capacities: list[tuple[float, Resources]] = []
        history.targets.append(self)

    @property
    def clock_ms(self) -> int:
        """Its monotonic clock, in milliseconds."""
        return (
            int((self._loop.time() - self._created_at) * self._clock_rate * 1000)
            + self._clock_start_ms
        )

    def create_next_report(self, *, draining: bool = False) -> TargetReport:
        """Return the next report that it sends to its agent."""
        self.report = replace(
            self.report,
            draining=draining,
            clock_ms=self.clock_ms,
            sequence=self.report.sequence + 1,
        )
        return self.report

    def change_capacity(self, capacity: Resources) -> None:
        """Change the capacity, which the next report tells.

        For some seconds starts may still fill the former one.
        """
        self._capacity_changed_at = self._loop.time()
        until = self._capacity_changed_at + CAPACITY_GRACE_S
        self._former_capacities.append((until, self.report.capacity))
        self.report = replace(self.report, capacity=capacity)

    def create_next_instance(
        self, born_ms: int, clock_start_ms: int = CLOCK_START_MS
    ) -> 'HeldTargetStandIn':
        """Start the target again under the same identifier, after it has ended.

        A capacity that has shrunk counts for it from the same time on.
        """
        self._next_instance = HeldTargetStandIn(
            self.report.target_id,
            self.report.capacity,
            self._history,
            clock_rate=self._clock_rate,
            seed=self._seed + 1,
            born_ms=born_ms,
            clock_start_ms=clock_start_ms,
        )
        self._next_instance._capacity_changed_at = self._capacity_changed_at
        self._next_instance._former_capacities = self._former_capacities
        return self._next_instance

    def crash(self, *, restarts: bool = False) -> None:
        """End the instance; its active runs are lost.

        :param restarts: the target does not respond until it starts again under the
            same identifier; by default another instance responds at once.
        """
        if self.has_ended:
            return
        self.has_ended = True
        self.restarts = restarts
        if restarts:
            # The connections of waiting polls end.
            self._run_has_ended.set()
        for run_state in list(self._active_runs.values()):
            self._end_run(run_state, RunEnd.LOST)
        self._history.targets.remove(self)

    def end_expired_runs(self) -> None:
        """End the active runs if their lease has expired."""
        if self._active_runs and self._lease_expires_at_ms <= self.clock_ms:
            self._end_runs_of_expired_lease()

    async def start_run(
        self, task: TaskKey, run_number: int, payload: str, lease: FencedLease
    ) -> CommandResponse:
        """Start a run, unless its lease or its run number is out of date."""
        response = await self._execute_command(
            lambda target: target._apply_start(task, run_number, lease),
            self._present.faults.start_delay_s,
        )
        if self._present.faults.start_answers_lost:
            await asyncio.sleep(UNANSWERED_DELAY_S)
            return CommandResponse(CommandResult.UNANSWERED)
        return response

    async def stop_run(
        self, task: TaskKey, run_number: int, lease: FencedLease
    ) -> CommandResponse:
        """Stop the run and earlier ones; later commands to start them fail."""
        return await self._execute_command(
            lambda target: target._apply_stop(task, run_number, lease),
            self._present.faults.stop_delay_s,
        )

    async def poll(
        self, lease: FencedLease, last_seen: int, wait_s: float, timeout_s: float
    ) -> PollResult:
        """Extend the lease, and wait until a run ends.

        :param seen: sequence of the last end that the caller has received.
        :param wait_s: longest wait for an end that the caller has not received.
        :param timeout_s: time after which a poll of an unresponsive target fails.
        :raises TargetSessionLost: when the instance has ended, or has seen a higher
            fencing token.
        :raises PollFailed: when the target is unresponsive.
        """
        await asyncio.sleep(CALL_LATENCY_S)
        return await self._present._answer_poll(lease, last_seen, wait_s, timeout_s)

    async def close(self) -> None:
        """Do nothing, as there are no connections."""

    @property
    def _present(self) -> 'HeldTargetStandIn':
        """The newest instance with this identifier."""
        target = self
        while target._next_instance is not None:
            target = target._next_instance
        return target

    async def _answer_poll(
        self, lease: FencedLease, last_seen: int, wait_s: float, timeout_s: float
    ) -> PollResult:
        self._check_presence()
        if self.faults.unresponsive:
            await asyncio.sleep(timeout_s)
            raise PollFailed('target is unresponsive')
        if lease.fencing_token < self._highest_token:
            raise TargetSessionLost(target_ended=False, born_ms=self.report.born_ms)
        self._highest_token = lease.fencing_token
        self._extend_lease(lease)
        self._unacknowledged_ends = [
            ended for ended in self._unacknowledged_ends if ended.sequence > last_seen
        ]
        if wait_s and not self._unacknowledged_ends:
            self._run_has_ended.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._run_has_ended.wait()
            except TimeoutError:
                self._run_has_ended.clear()
        self._check_presence()
        return self._create_poll_result()

    def _check_presence(self) -> None:
        if self.has_ended and self.restarts:
            raise PollFailed('connection refused', refused=True)
        if self.has_ended:
            raise TargetSessionLost(target_ended=True)

    def _call_later(
        self, delay_s: float, callback: Callable[..., object], *arguments: object
    ) -> asyncio.TimerHandle:
        # A callback runs in the context in which the target was created, as the
        # caller's context may have been stopped when the callback is due.
        return self._loop.call_later(
            delay_s, callback, *arguments, context=self._context
        )

    async def _execute_command(
        self,
        apply: Callable[['HeldTargetStandIn'], CommandResult],
        delay_s: float,
    ) -> CommandResponse:
        await asyncio.sleep(CALL_LATENCY_S)
        faults = self._present.faults
        if faults.unresponsive or self._rng.random() < faults.unanswered_share:
            delay_s = self._rng.uniform(*faults.late_command_delay_s)
        if delay_s < UNANSWERED_DELAY_S:
            await asyncio.sleep(delay_s)
        else:
            self._call_later(delay_s, lambda: apply(self._present))
            await asyncio.sleep(UNANSWERED_DELAY_S)
            return CommandResponse(CommandResult.UNANSWERED)
        target = self._present
        if target.has_ended and target.restarts:
            return CommandResponse(CommandResult.UNANSWERED)
        if target.has_ended:
            return CommandResponse(CommandResult.WRONG_INSTANCE)
        return CommandResponse(apply(target), target.clock_ms)

    def _apply_start(
        self, task: TaskKey, run_number: int, lease: FencedLease
    ) -> CommandResult:
        if self.has_ended or lease.fencing_token < self._highest_token:
            return CommandResult.FENCED
        self._highest_token = lease.fencing_token
        if (lease.expires_at_ms or 0) <= self.clock_ms:
            return CommandResult.TOO_LATE
        self._extend_lease(lease)
        active = self._active_runs.get(task)
        if active is not None and active.record.run_number == run_number:
            return CommandResult.ACCEPTED
        if run_number <= self._highest_run_numbers.get(task, 0):
            return CommandResult.STALE_RUN
        self._highest_run_numbers[task] = run_number
        record = RecordedRun(task, run_number, self.report.target_id, self._loop.time())
        self._history.record_start(record)
        run_time_s = self._history.get_run_time_s(task) * self.faults.run_time_factor
        run_state = _RunState(record, run_time_s, self._loop.time())
        self._active_runs[task] = run_state
        if not self.faults.runs_hang:
            fails = self.faults.runs_fail or self._history.task_fails(task)
            end = RunEnd.FAILED if fails else RunEnd.DONE
            run_state.end_timer = self._call_later(
                run_time_s, self._end_run, run_state, end
            )
        if self._history.crashes_target(task):
            self._call_later(CRASH_DELAY_S, self._history.crash_target, self)
        self._check_capacity(record)
        return CommandResult.ACCEPTED

    def _apply_stop(
        self, task: TaskKey, run_number: int, lease: FencedLease
    ) -> CommandResult:
        if self.has_ended or lease.fencing_token < self._highest_token:
            return CommandResult.FENCED
        self._highest_run_numbers[task] = max(
            run_number, self._highest_run_numbers.get(task, 0)
        )
        run_state = self._active_runs.get(task)
        if run_state is not None and run_state.record.run_number <= run_number:
            self._call_later(STOP_DELAY_S, self._end_run, run_state, RunEnd.STOPPED)
        return CommandResult.ACCEPTED

    def _extend_lease(self, lease: FencedLease) -> None:
        if lease.expires_at_ms is None:
            return
        latest_ms = self.clock_ms + MAX_LEASE_MS
        self._lease_expires_at_ms = max(
            self._lease_expires_at_ms, min(lease.expires_at_ms, latest_ms)
        )
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        remaining_s = (
            (self._lease_expires_at_ms - self.clock_ms) / 1000 / self._clock_rate
        )
        self._lease_timer = self._call_later(
            remaining_s, self._end_runs_of_expired_lease
        )

    def _end_runs_of_expired_lease(self) -> None:
        for run_state in list(self._active_runs.values()):
            self._end_run(run_state, RunEnd.LEASE_EXPIRED)

    def _end_run(self, run_state: _RunState, end: RunEnd) -> None:
        task = run_state.record.task
        if self._active_runs.get(task) is not run_state:
            return
        del self._active_runs[task]
        if run_state.end_timer is not None:
            run_state.end_timer.cancel()
        run_state.record.ended_at = self._loop.time()
        run_state.record.end = end
        self._end_count += 1
        self._unacknowledged_ends.append(
            EndedRun(self._end_count, task, run_state.record.run_number, end)
        )
        self._run_has_ended.set()

    def _check_capacity(self, record: RecordedRun) -> None:
        used = Resources(0, 0)
        for task in self._active_runs:
            used = used.plus(self._history.get_resources(task))
        capacity = self._find_checked_capacity()
        if not capacity.covers(used):
            self._history.violations.append(
                f'over capacity: {used} of {capacity} since'
                f' {self._capacity_changed_at:.2f}, instance since'
                f' {self._created_at:.2f}: {record}'
            )

    def _find_checked_capacity(self) -> Resources:
        """Return the largest capacity of the last seconds."""
        capacity = self.report.capacity
        self._former_capacities = [
            each for each in self._former_capacities if each[0] > self._loop.time()
        ]
        for _, former in self._former_capacities:
            capacity = Resources(
                max(capacity.cpu, former.cpu), max(capacity.memory_mb, former.memory_mb)
            )
        return capacity

    def _create_poll_result(self) -> PollResult:
        now = self._loop.time()
        running = tuple(
            ActiveRun(
                task,
                run_state.record.run_number,
                0
                if self.faults.runs_hang
                else min(
                    int((now - run_state.started_at) / run_state.run_time_s * 100), 99
                ),
            )
            for task, run_state in self._active_runs.items()
        )
        return PollResult(
            self.clock_ms,
            running,
            tuple(self._unacknowledged_ends),
            born_ms=self.report.born_ms,
        )


class StandInClientFactory(TargetClientFactory):
    """Returns target stand-ins by the identifier of the instance."""

    def __init__(self) -> None:
        self.targets: dict[str, HeldTargetStandIn] = {}

    def create_client(self, report: TargetReport) -> TargetClient:
        """Return the stand-in that has sent a report."""
        return self.targets[report.target_id]
