"""Session of an agent with one instance of its target: commands, polls and lease."""

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

from endivetally_held.first_polls import find_next_instance
from endivetally_held.first_polls import poll_without_renewal
from endivetally_held.guard import report_unexpected_error
from endivetally_held.instances import InstanceHistory
from endivetally_held.jobs import TaskKey
from endivetally_held.lease import CLOCK_DRIFT_FACTOR
from endivetally_held.lease import ENTRY_SILENCE_LIMIT_S
from endivetally_held.lease import LEASE_MS
from endivetally_held.lease import LeaseTracker
from endivetally_held.poll_waits import POLL_RESPONSE_S
from endivetally_held.poll_waits import POLL_RETRY_S
from endivetally_held.poll_waits import choose_poll_wait
from endivetally_held.rate_learner import RateLearner
from endivetally_held.reappearance import ReappearanceDetector
from endivetally_held.report_age import MAX_REPORT_AGE_S
from endivetally_held.report_age import ReportAgeLimit
from endivetally_held.runs import EndEvidence
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.runs import describe_command
from endivetally_held.runs import find_slow_runs
from endivetally_held.runs import has_recent_suspect
from endivetally_held.runs import is_stalled
from endivetally_held.runs import is_stop_overdue
from endivetally_held.runs import record_unread_rows
from endivetally_held.runs import settle_expired_starts
from endivetally_held.stops import StopSender
from endivetally_held.target_client import ActiveRun
from endivetally_held.target_client import CommandResult
from endivetally_held.target_client import EndedRun
from endivetally_held.target_client import FencedLease
from endivetally_held.target_client import PollFailed
from endivetally_held.target_client import PollResult
from endivetally_held.target_client import TargetClient
from endivetally_held.target_client import TargetReport
from endivetally_held.target_client import TargetSessionLost
from endivetally_held.target_crashes import CrashDetector
from endivetally_held.unconfirmed_runs import UnconfirmedRuns
from endivetally_held.unconfirmed_runs import find_expired_runs
from endivetally_held.unconfirmed_runs import may_start_elsewhere

# The lease is no longer renewed when the target has not accepted a stop in this time.
STOP_GRACE_S: Final = 0.3
# Time from the request of an entry to stop a run until the run has ended.
LONGEST_STOP_S: Final = STOP_GRACE_S + LEASE_MS / 1000 * CLOCK_DRIFT_FACTOR


class SessionListener(ABC):
    """Receives the events of a session."""

    @abstractmethod
    def run_ended(self, run: Run, end: RunEnd, run_s: float) -> None:
        """Handle the end of a run, after which it no longer exists at the target.

        :param run_s: seconds since the start command; 0 unless the target reported
            the end.
        """

    @abstractmethod
    def capacity_changed(self) -> None:
        """Handle a change of the free capacity or of the permission to start runs."""

    @abstractmethod
    def session_lost(self, session: 'TargetSession', *, target_ended: bool) -> None:
        """Handle the loss of a session whose commands the target instance rejects.

        :param session: the lost one, which may have been replaced meanwhile.
        :param target_ended: whether the instance has ended; otherwise it has seen a
            higher fencing token.
        """


class TargetSession:
    """Runs tasks at one instance of a target and renews their lease.

    :param report: first report of the instance; `apply_report` replaces it.
    :param measure_silence: returns the seconds since the last message of an entry; 0
        for one that is not connected, whose runs are being stopped.
    :param history: what is known of the target's instances.
    :param unconfirmed: runs of earlier sessions that may still start.
    :param crashes: detects the crash of the instance.
    :param max_report_age_s: seconds for which a report tells the capacity.
    """

    def __init__(
        self,
        target: TargetClient,
        report: TargetReport,
        listener: SessionListener,
        events: EventLog,
        clock: Callable[[], float] = monotonic_now,
        measure_silence: Callable[[str], float] | None = None,
        history: InstanceHistory | None = None,
        unconfirmed: UnconfirmedRuns | None = None,
        crashes: CrashDetector | None = None,
        max_report_age_s: float = MAX_REPORT_AGE_S,
    ) -> None:
        self.report = report
        self.health = TargetHealth()
        self.rate_learner = RateLearner(report.kind, events, clock)
        self.reservations = ResourceReservations(report.capacity)
        # Start of the instance whose answer ended the session, if it is known.
        self.next_born_ms: int | None = None
        # Whether the runs that an earlier session left at the target have ended.
        self.orphans_ended = False
        self._target = target
        self._listener = listener
        self._events = events
        self._clock = clock
        self._measure_silence = measure_silence or _never_silent
        self._history = history or InstanceHistory()
        self._unconfirmed = unconfirmed or UnconfirmedRuns(
            listener.run_ended, events, clock
        )
        self._lease = LeaseTracker(
            report.clock_ms,
            clock,
            report.born_ms,
            self._history.get_least_token(report.instance),
        )
        self._runs: dict[TaskKey, Run] = {}
        self._reappearances = ReappearanceDetector(events, clock)
        self._crashes = crashes or CrashDetector(report.target_id, report.pool, events)
        self._stops = StopSender(target, self._lease, events, clock, self.lose)
        self._last_end_sequence = 0
        self._failed_polls = 0
        self._renewal_paused = False
        self._poll_pause_s: float = POLL_RETRY_S
        self._tasks: set[asyncio.Future[None]] = set()
        self._closed = False
        self._report_age = ReportAgeLimit(max_report_age_s, events)

    @property
    def accepting(self) -> bool:
        """Whether runs may be queued for the target."""
        return (
            self.orphans_ended
            and not self._closed
            and not self.report.draining
            and self._lease.in_contact
        )

    @property
    def run_count(self) -> int:
        """Number of runs that hold capacity."""
        return len(self._runs)

    def may_start(self) -> bool:
        """Return whether another run may start now, if the capacity allows it."""
        return (
            self.accepting
            and self._report_age.is_recent(self.report, self._lease)
            and self.health.may_start(len(self._runs), self._clock())
        )

    def has_run(self, task: TaskKey) -> bool:
        """Return whether a run of a task was started here and has not ended."""
        return task in self._runs

    def apply_report(self, report: TargetReport) -> None:
        """Apply a newer report, whose capacity may have changed.

        Runs that exceed a smaller capacity go on, and hold it until they have ended.
        """
        self.report = report
        former = self.reservations.capacity
        if report.capacity != former:
            self.reservations.resize(report.capacity)
            self._events.emit(
                Event.TARGET_CAPACITY_CHANGED,
                target=report.target_id,
                cpu=report.capacity.cpu,
                memory_mb=report.capacity.memory_mb,
                former_cpu=former.cpu,
                former_memory_mb=former.memory_mb,
                free_cpu=self.reservations.free.cpu,
            )

    def start_polling(self) -> None:
        """Start polling the target in the background."""
        self._spawn(self._poll_repeatedly())

    async def close(self) -> None:
        """Send no more commands; the lease of the runs expires by itself."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        await self._target.close()

    async def lose(self, *, target_ended: bool, leaving: bool = False) -> None:
        """Report the lost session once none of its runs can still be running.

        :param target_ended: whether the instance has ended, or is leaving.
        :param leaving: whether the instance may go on for some seconds.
        """
        if self._closed:
            return
        self._closed = True
        if leaving:
            self._crashes.expect_end()
        reason = 'other_target' if target_ended else 'fenced'
        self._events.emit(
            Event.TARGET_LEFT,
            target=self.report.target_id,
            reason='left' if leaving else reason,
        )
        if not target_ended or (leaving and self._runs):
            self._listener.capacity_changed()
            if self.report.born_ms is None:
                await asyncio.sleep(self._lease.remaining_s)
            else:
                self.next_born_ms = await find_next_instance(self._target, self._lease)
        self._listener.session_lost(self, target_ended=target_ended)

    def start_run(self, run: Run) -> bool:
        """Start a run if it fits, without waiting for the response.

        Returns whether the start command is sent.
        """
        # A run of a silent entry would have to end at once, and a start would renew the
        # lease of the runs that must end.
        may_start = (
            self.may_start()
            and self._measure_silence(run.entry) <= ENTRY_SILENCE_LIMIT_S
            and self._find_unrenewable_run() is None
        )
        if run.suspect and has_recent_suspect(self._runs.values(), self._clock()):
            return False
        if not may_start or not self.reservations.reserve(run.task, run.need):
            return False
        run.state = RunState.STARTING
        run.start_sent_at = self._clock()
        run.progressed_at = run.start_sent_at
        self._runs[run.task] = run
        lease = self._lease.renew()
        run.start_expires_at_ms = lease.expires_at_ms or 0
        self._spawn(self._send_start(run, lease))
        return True

    def stop_run(self, run: Run, end: RunEnd = RunEnd.STOPPED) -> None:
        """Stop a run; its end is reported once it is certain.

        :param end: end to report if the run does not end in another way before.
        """
        if run.state not in {RunState.STARTING, RunState.RUNNING}:
            return
        run.state = RunState.STOPPING
        run.end_if_stopped = end
        # A target refuses a start that it receives after the stop.
        self._spawn(self._stops.stop(run))

    def stop_runs_of(
        self,
        entry: str,
        tasks: Container[TaskKey] | None = None,
        *,
        silent_s: float = 0,
    ) -> None:
        """Stop the runs that an entry requested.

        They end within ``LONGEST_STOP_S``, whether or not the target responds.

        :param entry: incarnation of the entry.
        :param tasks: stop only the runs of these tasks; all runs by default.
        :param silent_s: seconds since the last message of the entry.
        """
        # The lease is renewed no longer than if the entry had only fallen silent.
        grace_s = min(STOP_GRACE_S, max(ENTRY_SILENCE_LIMIT_S - silent_s, 0))
        overdue_at = self._clock() + grace_s
        for run in list(self._runs.values()):
            if run.entry == entry and (tasks is None or run.task in tasks):
                run.stop_overdue_at = min(run.stop_overdue_at, overdue_at)
                self.stop_run(run)

    def end_lost_runs(self, *, target_ended: bool) -> None:
        """Report the ends of the runs when nothing more is sent by this session.

        The target's next instance may still start runs that this one has not listed.

        :param target_ended: whether the instance has ended.
        """
        instance = self.report.instance
        if target_ended and not self.report.draining:
            self._crashes.record_end(
                self._runs.values(), self._clock(), self._lease.last_response_age_s
            )
        self._history.record_token(instance, self._lease.without_renewal.fencing_token)
        startable = [
            run for run in self._runs.values() if may_start_elsewhere(run, instance)
        ]
        for moved in startable:
            self._runs.pop(moved.task)
            self.reservations.release(moved.task)
        self._unconfirmed.add(startable, instance)
        evidence = EndEvidence.SESSION_LOST
        if target_ended and instance.born_ms is not None:
            evidence = EndEvidence.INSTANCE_ENDED
        for run in list(self._runs.values()):
            run.evidence = evidence
            self._finish_run(run, RunEnd.LOST)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_start(self, run: Run, lease: FencedLease) -> None:
        response = await self._target.start_run(
            run.task, run.run_number, run.payload, lease
        )
        if response.result is not CommandResult.UNANSWERED:
            self._lease.record_response(response.clock_ms)
        if run.state is RunState.ENDED:
            return
        now = self._clock()
        lost_answer = response.result is CommandResult.UNANSWERED and run.listed
        if lost_answer or response.result is CommandResult.ACCEPTED:
            run.observed = True
            if run.confirm_start(now):
                self._events.emit(
                    Event.RUN_STARTED, **describe_command(run, now - run.start_sent_at)
                )
        elif response.result is CommandResult.UNANSWERED:
            self._events.emit(
                Event.COMMAND_UNANSWERED,
                order='start',
                attempt=1,
                **describe_command(run, now - run.start_sent_at),
            )
            self.stop_run(run, RunEnd.REFUSED_TARGET)
        else:
            await self._handle_refusal(run, response.result)

    async def _handle_refusal(self, run: Run, result: CommandResult) -> None:
        self._events.emit(
            Event.RUN_REFUSED,
            task=str(run.task),
            run=run.run_number,
            reason=result.value,
        )
        run.evidence = EndEvidence.START_REFUSED
        if result is CommandResult.UNHEALTHY and self.health.record_failure(
            run.task.job, self._clock()
        ):
            self._report_health()
        self._finish_run(run, _REFUSALS.get(result, RunEnd.REFUSED_TARGET))
        if result in {CommandResult.FENCED, CommandResult.WRONG_INSTANCE}:
            await self.lose(target_ended=result is CommandResult.WRONG_INSTANCE)

    async def _poll_repeatedly(self) -> None:
        while not self._closed:
            sent_at = self._clock()
            try:
                self._apply_poll_result(await self._poll(), sent_at)
            except TargetSessionLost as error:
                self.next_born_ms = error.born_ms
                await self.lose(target_ended=error.target_ended)
                return
            except Exception as error:
                # An unexpected error, too, ends the renewal of the lease.
                await self._handle_failed_poll(error)
                continue
            if self._failed_polls > 1:
                self._listener.capacity_changed()
            self._failed_polls = 0
            self._crashes.record_answer()
            await asyncio.sleep(self._poll_pause_s)

    async def _poll(self) -> PollResult:
        if not self.orphans_ended:
            return await poll_without_renewal(
                self._target, self._lease, self._last_end_sequence
            )
        # If the target processes polls but its responses are lost, renewals would keep
        # runs alive that nobody observes.
        unrenewable = self._find_unrenewable_run()
        self._report_pause(unrenewable)
        may_renew = self._failed_polls <= 1 and unrenewable is None
        lease = self._lease.renew() if may_renew else self._lease.without_renewal
        wait_s = (
            0
            if self._failed_polls
            else choose_poll_wait(self._runs.values(), self._lease)
        )
        return await self._target.poll(
            lease, self._last_end_sequence, wait_s, wait_s + POLL_RESPONSE_S
        )

    def _find_unrenewable_run(self) -> Run | None:
        """Return a run whose lease must not be renewed, if there is one."""
        now = self._clock()
        entries = {run.entry for run in self._runs.values()}
        silent_entries = {
            entry
            for entry in entries
            if self._measure_silence(entry) > ENTRY_SILENCE_LIMIT_S
        }
        return next(
            (
                run
                for run in self._runs.values()
                if is_stop_overdue(run, now, entry_silent=run.entry in silent_entries)
            ),
            None,
        )

    def _report_pause(self, unrenewable: Run | None) -> None:
        if unrenewable is not None and not self._renewal_paused:
            self._events.emit(
                Event.RENEWAL_PAUSED,
                entry=unrenewable.entry,
                running=len(self._runs),
                silent_ms=_to_milliseconds(self._measure_silence(unrenewable.entry)),
                **describe_command(
                    unrenewable, self._clock() - unrenewable.start_sent_at
                ),
            )
        if self._renewal_paused is not (unrenewable is not None):
            self._renewal_paused = unrenewable is not None
            self._listener.capacity_changed()

    async def _handle_failed_poll(self, error: Exception) -> None:
        self._failed_polls += 1
        if not isinstance(error, PollFailed):
            report_unexpected_error(self._events, error)
        if not self.report.draining:
            self._crashes.record_failed_poll(
                self._runs.values(),
                self._clock(),
                self._lease.last_response_age_s,
                refused=isinstance(error, PollFailed) and error.refused,
            )
        if self._failed_polls == 2:
            self._events.emit(
                Event.TARGET_UNRESPONSIVE,
                target=self.report.target_id,
                reason=str(error),
                running=len(self._runs),
                answered_ms_ago=_to_milliseconds(self._lease.last_response_age_s),
            )
            self._listener.capacity_changed()
        if not self._lease.remaining_s:
            for run, evidence in find_expired_runs(
                self._runs.values(),
                self.report.instance,
                self._clock(),
            ):
                run.evidence = evidence
                self._finish_run(run, RunEnd.LEASE_EXPIRED)
        await asyncio.sleep(POLL_RETRY_S)

    def _apply_poll_result(self, poll_result: PollResult, sent_at: float) -> None:
        # Only such a poll fences the starts of former processes of the agent.
        fences = self._lease.has_own_token
        self._lease.record_response(poll_result.clock_ms)
        for ended in poll_result.ended:
            if ended.sequence > self._last_end_sequence:
                self._last_end_sequence = ended.sequence
                self._apply_end(ended)
        for active in poll_result.running:
            self._apply_progress(active)
        record_unread_rows(self._runs.values(), poll_result)
        now = self._clock()
        active_runs = [
            run for run in self._runs.values() if run.state is RunState.RUNNING
        ]
        for run in find_slow_runs(active_runs, now):
            self._move_run(run, now, 'slow')
        self._finish_missing(poll_result, sent_at)
        settle_expired_starts(self._runs.values(), poll_result.clock_ms, self._clock())
        if fences and poll_result.complete:
            self._unconfirmed.confirm(self.report.target_id, poll_result.running)
        is_idle = poll_result.complete and not poll_result.running
        if fences and not self.orphans_ended and is_idle:
            self.orphans_ended = True
            self._listener.capacity_changed()
        # A target returns an end that can't be read at once with each poll.
        may_wait = self.orphans_ended and poll_result.ends_complete
        self._poll_pause_s = 0 if may_wait else POLL_RETRY_S

    def _finish_missing(self, poll_result: PollResult, sent_at: float) -> None:
        """Finish the runs that were settled before a poll and that it does not list."""
        if not poll_result.complete:
            return
        listed = {(each.task, each.run_number) for each in poll_result.running}
        for run in list(self._runs.values()):
            settled = run.settled_at and run.settled_at < sent_at
            if settled and (run.task, run.run_number) not in listed:
                self._finish_run(
                    run, RunEnd.LOST if run.observed else run.end_if_stopped
                )

    def _apply_end(self, ended: EndedRun) -> None:
        run = self._runs.get(ended.task)
        if run is None or run.run_number != ended.run_number:
            self._reappearances.check(ended.task, ended.run_number, ended.end)
            return
        run.evidence = EndEvidence.LISTED
        run_s = self._clock() - run.start_sent_at
        if ended.end is RunEnd.STOPPED and run.state is RunState.STOPPING:
            self._finish_run(run, _resolve_stopped_end(run.end_if_stopped), run_s)
            return
        if ended.end is RunEnd.DONE:
            health_changed = self.health.record_success(run_s, run.expected_here_s)
            self.rate_learner.learn(self.report, run, run_s)
        else:
            failed = ended.end is RunEnd.FAILED
            health_changed = failed and self.health.record_failure(
                run.task.job, self._clock()
            )
        if health_changed:
            self._report_health()
        self._finish_run(run, ended.end, run_s)

    def _apply_progress(self, active: ActiveRun) -> None:
        run = self._runs.get(active.task)
        if run is None or run.run_number != active.run_number:
            # Started by an earlier process of this agent, or by a delayed command.
            self._reappearances.check(active.task, active.run_number, None)
            self._spawn(self._stops.stop_stray(active))
            return
        run.observed = True
        run.listed = True
        now = self._clock()
        if active.progress_percent > run.progress_percent:
            run.progress_percent = active.progress_percent
            run.progressed_at = now
        if run.state is RunState.RUNNING and is_stalled(run, now):
            self._move_run(run, now, 'stalled')

    def _move_run(self, run: Run, now: float, reason: str) -> None:
        """Stop a run, with an end after which the entry runs the task elsewhere."""
        self._events.emit(
            Event.RUN_STOPPED,
            task=str(run.task),
            run=run.run_number,
            reason=reason,
            percent=run.progress_percent,
            elapsed_ms=_to_milliseconds(now - run.start_sent_at),
            expected_ms=_to_milliseconds(run.expected_here_s),
        )
        if self.health.record_failure(run.task.job, now):
            self._report_health()
        self.stop_run(run, RunEnd.STALLED)

    def _report_health(self) -> None:
        self._events.emit(
            Event.TARGET_HEALTH_CHANGED,
            target=self.report.target_id,
            standing=self.health.state.value,
            pace=round(self.health.slowdown, 2),
        )
        self._listener.capacity_changed()

    def _finish_run(self, run: Run, end: RunEnd, run_s: float = 0) -> None:
        if run.state is RunState.ENDED:
            return
        run.state = RunState.ENDED
        self._runs.pop(run.task, None)
        self.reservations.release(run.task)
        self._reappearances.record_end(run)
        self._listener.run_ended(run, end, run_s)


_REFUSALS: Final = {
    CommandResult.STALE_RUN: RunEnd.REFUSED_STALE_RUN,
    CommandResult.TOO_LATE: RunEnd.REFUSED_COMMAND,
    CommandResult.NO_CAPACITY: RunEnd.REFUSED_NO_CAPACITY,
    CommandResult.MALFORMED: RunEnd.REFUSED_COMMAND,
}


def _never_silent(entry: str) -> float:
    return 0


def _resolve_stopped_end(end: RunEnd) -> RunEnd:
    """Return the end to report for a run that the target reported as stopped.

    Such a run had started, so it can't be reported as refused.
    """
    return RunEnd.STOPPED if end is RunEnd.REFUSED_TARGET else end


def _to_milliseconds(seconds: float) -> int:
    return int(seconds * 1000)
