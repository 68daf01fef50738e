"""A target of held jobs in memory, with leases, late orders and other faults."""

import asyncio
import contextvars
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

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

LONGEST_LEASE_MS = 1000
STOP_S = 0.05
CALL_S = 0.001
UNANSWERED_S = 0.3
LATE_S = (2.0, 12.0)


@dataclass(slots=True)
class RecordedRun:
    """A run as it happened at a target."""

    task: TaskKey
    run: int
    target: str
    began: float
    ended: float | None = None
    end: RunEnd | None = None


@dataclass(slots=True)
class TargetFaults:
    """Faults that a test switches on.

    :param unanswered: share of the orders that get no answer and are carried out
        seconds later.
    :param silent: no call is answered; what runs goes on.
    :param fails: every run fails at its end.
    :param hangs: runs make no progress.
    :param slow: factor on run times.
    """

    unanswered: float = 0
    silent: bool = False
    fails: bool = False
    hangs: bool = False
    slow: float = 1


@dataclass(slots=True)
class _Work:
    record: RecordedRun
    run_s: float
    began: float
    timer: asyncio.TimerHandle | None = None


@dataclass(slots=True)
class Ledger:
    """What ran anywhere, and how long and large each task is.

    :param run_s: returns the run time of a task.
    :param need: returns the room of a task.
    :param fails: returns whether a task fails wherever it runs.
    :param targets: end what is due before a start is judged, in case the event
        loop is late.
    """

    run_s: Callable[[TaskKey], float]
    need: Callable[[TaskKey], Resources]
    fails: Callable[[TaskKey], bool] = lambda task: False
    runs: list[RecordedRun] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    targets: list['HeldTargetStandIn'] = field(default_factory=list)
    _by_task: dict[TaskKey, list[RecordedRun]] = field(default_factory=dict)

    def runs_of(self, task: TaskKey) -> list[RecordedRun]:
        """Return the runs of a task, in order of their starts."""
        return self._by_task.get(task, [])

    def begin(self, record: RecordedRun) -> None:
        """Note the start of a run; another run of the task must have ended."""
        for target in self.targets:
            target.settle()
        of_task = self._by_task.setdefault(record.task, [])
        for other in of_task:
            if other.ended is None:
                self.violations.append(f'twice: {record} beside {other}')
        of_task.append(record)
        self.runs.append(record)


class HeldTargetStandIn(TargetClient):
    """One life of a target.

    :param rate: seconds of its clock in a second of the event loop.
    """

    def __init__(
        self,
        target_id: str,
        capacity: Resources,
        ledger: Ledger,
        *,
        rate: float = 1,
        seed: int = 0,
    ) -> None:
        self.faults = TargetFaults()
        self.report = TargetReport(
            target_id, 'pool', 'nowhere:1', capacity, False, 0, 0
        )
        self.dead = False
        self._ledger = ledger
        self._rate = rate
        self._random = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._context = contextvars.copy_context()
        self._born = self._loop.time()
        self._token = 0
        self._lease_ms = 0
        self._lease_timer: asyncio.TimerHandle | None = None
        self._work: dict[TaskKey, _Work] = {}
        self._highest: dict[TaskKey, int] = {}
        self._ended: list[EndedRun] = []
        self._ends = 0
        self._changed = asyncio.Event()
        ledger.targets.append(self)

    @property
    def clock_ms(self) -> int:
        """Its steady clock."""
        return int((self._loop.time() - self._born) * self._rate * 1000) + 100_000

    def next_report(self, *, draining: bool = False) -> TargetReport:
        """Return its next report of itself."""
        before = self.report
        self.report = TargetReport(
            before.target_id,
            before.pool,
            before.address,
            before.capacity,
            draining,
            self.clock_ms,
            before.sequence + 1,
        )
        return self.report

    def crash(self) -> None:
        """End this life and everything that runs."""
        if self.dead:
            return
        self.dead = True
        for work in list(self._work.values()):
            self._end(work, RunEnd.LOST)
        self._ledger.targets.remove(self)

    def settle(self) -> None:
        """End what runs if the lease has expired."""
        if self._work and self._lease_ms <= self.clock_ms:
            self._lapse()

    async def start_run(
        self, task: TaskKey, run: int, payload: str, lease: FencedLease
    ) -> CommandResponse:
        """Start a run of a task."""
        return await self._order(lambda: self._start(task, run, lease))

    async def stop_run(
        self, task: TaskKey, run: int, lease: FencedLease
    ) -> CommandResponse:
        """Stop a run."""
        return await self._order(lambda: self._stop(task, run, lease))

    async def poll(
        self, lease: FencedLease, seen: int, wait_s: float, timeout_s: float
    ) -> PollResult:
        """Renew the lease, and wait for an end."""
        await asyncio.sleep(CALL_S)
        if self.dead:
            raise TargetSessionLost(target_ended=True)
        if self.faults.silent:
            await asyncio.sleep(timeout_s)
            raise PollFailed('silent')
        if lease.fencing_token < self._token:
            raise TargetSessionLost(target_ended=False)
        self._token = lease.fencing_token
        self._renew(lease)
        self._ended = [ended for ended in self._ended if ended.sequence > seen]
        if wait_s and not self._ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                self._changed.clear()
        if self.dead:
            raise TargetSessionLost(target_ended=True)
        return self._sighting()

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    def _later(
        self, delay_s: float, work: Callable[..., object], *parts: object
    ) -> asyncio.TimerHandle:
        # In the context of its birth: it lives on when whoever calls it is gone.
        return self._loop.call_later(delay_s, work, *parts, context=self._context)

    async def _order(self, apply: Callable[[], CommandResult]) -> CommandResponse:
        await asyncio.sleep(CALL_S)
        if self.faults.silent or self._random.random() < self.faults.unanswered:
            self._later(self._random.uniform(*LATE_S), apply)
            await asyncio.sleep(UNANSWERED_S)
            return CommandResponse(CommandResult.UNANSWERED)
        if self.dead:
            return CommandResponse(CommandResult.WRONG_INSTANCE)
        return CommandResponse(apply(), self.clock_ms)

    def _start(self, task: TaskKey, run: int, lease: FencedLease) -> CommandResult:
        if self.dead or lease.fencing_token < self._token:
            return CommandResult.FENCED
        self._token = lease.fencing_token
        if (lease.expires_at_ms or 0) <= self.clock_ms:
            return CommandResult.TOO_LATE
        self._renew(lease)
        present = self._work.get(task)
        if present is not None and present.record.run == run:
            return CommandResult.ACCEPTED
        if run <= self._highest.get(task, 0):
            return CommandResult.STALE_RUN
        self._highest[task] = run
        record = RecordedRun(task, run, self.report.target_id, self._loop.time())
        self._ledger.begin(record)
        run_s = self._ledger.run_s(task) * self.faults.slow
        work = _Work(record, run_s, self._loop.time())
        self._work[task] = work
        if not self.faults.hangs:
            failing = self.faults.fails or self._ledger.fails(task)
            end = RunEnd.FAILED if failing else RunEnd.DONE
            work.timer = self._later(run_s, self._end, work, end)
        self._check_room()
        return CommandResult.ACCEPTED

    def _stop(self, task: TaskKey, run: int, lease: FencedLease) -> CommandResult:
        if self.dead or lease.fencing_token < self._token:
            return CommandResult.FENCED
        self._highest[task] = max(run, self._highest.get(task, 0))
        work = self._work.get(task)
        if work is not None and work.record.run <= run:
            self._later(STOP_S, self._end, work, RunEnd.STOPPED)
        return CommandResult.ACCEPTED

    def _renew(self, lease: FencedLease) -> None:
        if lease.expires_at_ms is None:
            return
        longest = self.clock_ms + LONGEST_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(lease.expires_at_ms, longest))
        if self._lease_timer is not None:
            self._lease_timer.cancel()
        left_s = (self._lease_ms - self.clock_ms) / 1000 / self._rate
        self._lease_timer = self._later(left_s, self._lapse)

    def _lapse(self) -> None:
        for work in list(self._work.values()):
            self._end(work, RunEnd.LAPSED)

    def _end(self, work: _Work, end: RunEnd) -> None:
        task = work.record.task
        if self._work.get(task) is not work:
            return
        del self._work[task]
        if work.timer is not None:
            work.timer.cancel()
        work.record.ended = self._loop.time()
        work.record.end = end
        self._ends += 1
        self._ended.append(EndedRun(self._ends, task, work.record.run, end))
        self._changed.set()

    def _check_room(self) -> None:
        used = Resources(0, 0)
        for task in self._work:
            used = used.plus(self._ledger.need(task))
        if not self.report.capacity.covers(used):
            self._ledger.violations.append(f'over capacity: {used}')

    def _sighting(self) -> PollResult:
        now = self._loop.time()
        running = tuple(
            ActiveRun(
                task,
                work.record.run,
                0
                if self.faults.hangs
                else min(int((now - work.began) / work.run_s * 100), 99),
            )
            for task, work in self._work.items()
        )
        return PollResult(self.clock_ms, running, tuple(self._ended))


class StandInDialer(TargetClientFactory):
    """Returns stand-ins by the name of their life."""

    def __init__(self) -> None:
        self.targets: dict[str, HeldTargetStandIn] = {}

    def create_client(self, report: TargetReport) -> TargetClient:
        """Return the stand-in of a report."""
        return self.targets[report.target_id]
