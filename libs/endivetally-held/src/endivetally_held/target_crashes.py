"""Crashes of a target, and the runs that were active when it went away."""

import itertools
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

from endivetally_core.events import Event
from endivetally_core.events import EventLog

from endivetally_held.crash_state import CrashState
from endivetally_held.entry_server import EntryPeer
from endivetally_held.entry_server import EntryServer
from endivetally_held.jobs import TaskKey
from endivetally_held.lease import LEASE_MS
from endivetally_held.messages import MAX_COUNT
from endivetally_held.messages import CrashedRunRow
from endivetally_held.messages import TargetCrashed
from endivetally_held.runs import Run
from endivetally_held.target_client import TargetReport

# Crashes that an agent tells entries that connect later. A caller resends its job for
# less than a minute, and a target that crashes is back after some seconds.
REMEMBERED_CRASHES: Final = 16
RETENTION_S: Final = 300.0
# Bounds the message; the runs that were started last are the ones in question.
MAX_REPORTED_RUNS: Final = 64


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """A run that was active, or may have been, when its target went away.

    :param age_s: seconds since the start command was sent.
    :param observed: whether the target had accepted or listed it.
    """

    task: TaskKey
    run_number: int
    service: str
    age_s: float
    observed: bool


@dataclass(frozen=True, slots=True)
class TargetCrash:
    """A crash of a target, certain or not.

    :param number: identifies the crash at this agent.
    :param crashed_at: monotonic time in seconds of the first poll that failed.
    """

    number: int
    pool: str
    crashed_at: float
    state: CrashState
    runs: tuple[InterruptedRun, ...]


class CrashDetector:
    """Tells the crash of one instance of a target from a silence.

    A target that is cut off, paused or slow doesn't answer; one that has crashed
    refuses connections. Only another instance in its place proves the crash.

    :param pool: pool of the target.
    :param numbers: provides the numbers of the crashes.
    :param report: called with each crash, and again when its state changes.
    """

    def __init__(
        self,
        target_id: str,
        pool: str,
        events: EventLog,
        numbers: Iterator[int] | None = None,
        report: Callable[[TargetCrash], None] | None = None,
    ) -> None:
        self._target_id = target_id
        self._pool = pool
        self._events = events
        self._numbers = numbers or itertools.count(1)
        self._report = report
        self._crash: TargetCrash | None = None
        # Time of the first failed poll since the target has answered.
        self._contact_lost_at: float | None = None
        self._expects_end = False

    def expect_end(self) -> None:
        """Record that the instance has announced its end, which is no crash."""
        self._expects_end = True

    def record_answer(self) -> None:
        """Record that this instance has answered a poll."""
        self._contact_lost_at = None
        if self._crash is not None:
            self._emit(replace(self._crash, state=CrashState.DISMISSED))
            self._crash = None

    def record_failed_poll(
        self, runs: Iterable[Run], now: float, silent_s: float, *, refused: bool
    ) -> None:
        """Record that a poll failed; the runs have not been reported as ended yet.

        :param now: monotonic time in seconds.
        :param silent_s: seconds since the last answer. After the lease is over the
            runs may have ended before the crash.
        :param refused: whether no process accepted the connection.
        """
        if self._contact_lost_at is None:
            self._contact_lost_at = now
        if refused and self._crash is None and silent_s < LEASE_MS / 1000:
            self._open_crash(CrashState.SUSPECTED, runs, self._contact_lost_at)

    def record_end(self, runs: Iterable[Run], now: float, silent_s: float) -> None:
        """Record that another instance is in the target's place.

        The instance had not announced its end.

        :param runs: those that have not been reported as ended.
        :param now: monotonic time in seconds.
        :param silent_s: seconds since the last answer.
        """
        if self._crash is not None:
            self._emit(replace(self._crash, state=CrashState.CONFIRMED))
            self._crash = None
        elif silent_s < LEASE_MS / 1000:
            crashed_at = now if self._contact_lost_at is None else self._contact_lost_at
            self._open_crash(CrashState.CONFIRMED, runs, crashed_at)

    def _open_crash(
        self, state: CrashState, runs: Iterable[Run], crashed_at: float
    ) -> None:
        if self._expects_end:
            return
        interrupted = tuple(
            InterruptedRun(
                run.task,
                run.run_number,
                run.service,
                crashed_at - run.start_sent_at,
                run.observed,
            )
            for run in runs
            if run.start_sent_at <= crashed_at
        )
        if not interrupted:
            return
        number = next(self._numbers)
        self._crash = TargetCrash(number, self._pool, crashed_at, state, interrupted)
        self._emit(self._crash)

    def _emit(self, crash: TargetCrash) -> None:
        self._events.emit(
            Event.TARGET_CRASH,
            target=self._target_id,
            number=crash.number,
            state=crash.state.value,
            runs=[
                f'{run.task} {run.run_number} {int(run.age_s * 1000)}ms'
                for run in crash.runs
            ],
        )
        if self._report is not None:
            self._report(crash)


class CrashReporter:
    """Tells all entries of the crashes of one agent's target.

    The crashes outlive the entries whose runs they ended, so that the entry to which a
    caller resends its job counts them.

    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        entry_server: EntryServer,
        events: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._entry_server = entry_server
        self._events = events
        self._clock = clock
        self._numbers = itertools.count(1)
        self._crashes: dict[int, TargetCrash] = {}

    def create_detector(self, report: TargetReport) -> CrashDetector:
        """Return the detector for a session with an instance of the target."""
        return CrashDetector(
            report.target_id, report.pool, self._events, self._numbers, self._record
        )

    def send_known(self, peer: EntryPeer) -> None:
        """Send the crashes of the last minutes to an entry that has connected."""
        since = self._clock() - RETENTION_S
        for crash in self._crashes.values():
            if crash.crashed_at >= since:
                peer.channel.post(self._describe(crash))

    def _record(self, crash: TargetCrash) -> None:
        if crash.state is CrashState.DISMISSED:
            self._crashes.pop(crash.number, None)
        else:
            self._crashes[crash.number] = crash
        if len(self._crashes) > REMEMBERED_CRASHES:
            self._crashes.pop(next(iter(self._crashes)))
        message = self._describe(crash)
        for peer in self._entry_server:
            peer.channel.post(message)

    def _describe(self, crash: TargetCrash) -> TargetCrashed:
        newest = sorted(crash.runs, key=lambda run: run.age_s)[:MAX_REPORTED_RUNS]
        rows = [
            CrashedRunRow(
                run.task,
                run.run_number,
                run.service,
                _to_milliseconds(run.age_s),
                run.observed,
            )
            for run in newest
        ]
        age_ms = _to_milliseconds(self._clock() - crash.crashed_at)
        return TargetCrashed(crash.number, crash.pool, crash.state, age_ms, rows)


def _to_milliseconds(seconds: float) -> int:
    return min(max(int(seconds * 1000), 0), MAX_COUNT)
