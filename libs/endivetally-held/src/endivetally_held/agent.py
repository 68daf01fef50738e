"""Agent for held jobs: runs the tasks of entries on the local target."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from functools import partial
from typing import Any
from typing import Final
from typing import Self

from endivetally_core.clock import monotonic_now
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_http import ClientUsage
from endivetally_http import EventRefusalLog
from endivetally_policy.clients import ProcessLimits
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_policy.held.resources import NO_RESOURCES

from endivetally_held.backlog import Backlog
from endivetally_held.channel import HEARTBEAT_CHECK_S
from endivetally_held.entry_server import EntryListener
from endivetally_held.entry_server import EntryPeer
from endivetally_held.entry_server import EntryServer
from endivetally_held.evacuation import AgentEvacuation
from endivetally_held.expected_reports import expect_report
from endivetally_held.expected_reports import is_expected
from endivetally_held.expected_reports import is_same_target
from endivetally_held.guard import run_guarded
from endivetally_held.instance_checks import InstanceChecks
from endivetally_held.instance_checks import InstanceState
from endivetally_held.instance_clients import InstanceClientFactory
from endivetally_held.instances import InstanceHistory
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import MAX_COUNT
from endivetally_held.messages import AgentHello
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import Evacuations
from endivetally_held.messages import RunEnded
from endivetally_held.messages import RunRequest
from endivetally_held.messages import StartRuns
from endivetally_held.messages import StopRuns
from endivetally_held.messages import TargetState
from endivetally_held.report_age import MAX_REPORT_AGE_S
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.session import SessionListener
from endivetally_held.session import TargetSession
from endivetally_held.state_reporter import StateReporter
from endivetally_held.target_client import FencedLease
from endivetally_held.target_client import TargetClientFactory
from endivetally_held.target_client import TargetReport
from endivetally_held.target_crashes import CrashReporter
from endivetally_held.unconfirmed_runs import UnconfirmedRuns

# Changed states are sent to the entries at this interval; an entry whose run has ended
# gets the state at once.
TICK_INTERVAL_S: Final = 0.05
DRAIN_POLL_S: Final = 0.05
# Runs are refused when the backlog exceeds this share of the target's cores. A single
# entry stays well below it, but entries don't know of each other's requests.
MAX_BACKLOG_SHARE: Final = 0.35


class HeldAgent(SessionListener, EntryListener):
    """Runs tasks of entries on the local target.

    :param incarnation: identifies this process; a restarted agent has another one.
    :param client_factory: creates the client of the target from its report.
    :param max_report_age_s: seconds for which a report tells the target's capacity;
        nothing is started after that until the next one.
    :param client_usage: what the clients of the process hold together.
    """

    def __init__(
        self,
        incarnation: str,
        data_centre: str,
        client_factory: TargetClientFactory,
        events: EventLog,
        clock: Callable[[], float] = monotonic_now,
        max_report_age_s: float = MAX_REPORT_AGE_S,
        client_usage: ClientUsage | None = None,
    ) -> None:
        hello = AgentHello(incarnation, data_centre)
        if client_usage is None:
            client_usage = ClientUsage(ProcessLimits(), EventRefusalLog(events))
        self.entry_server = EntryServer(hello, self, events, clock, client_usage)
        self.evacuation = AgentEvacuation(data_centre, events, self.capacity_changed)
        self._history = InstanceHistory(clock)
        self._client_factory = InstanceClientFactory(client_factory, self._history)
        self._events = events
        self._clock = clock
        self._max_report_age_s = max_report_age_s
        self._session: TargetSession | None = None
        self._unconfirmed = UnconfirmedRuns(self.run_ended, events, clock)
        self._crash_reporter = CrashReporter(self.entry_server, events, clock)
        self._closing_tasks: set[asyncio.Task[None]] = set()
        self._checks = InstanceChecks(self._client_factory)
        self._backlog = Backlog()
        self._draining = False
        self._state_reporter = StateReporter(
            self.entry_server, self._build_state, self._find_availability
        )
        self._stack = AsyncExitStack()

    @property
    def running_count(self) -> int:
        """Number of runs that hold capacity of the target."""
        return self._session.run_count if self._session else 0

    @property
    def waiting_count(self) -> int:
        """Number of runs that wait for free capacity."""
        return len(self._backlog)

    async def __aenter__(self) -> Self:
        """Start the periodic work."""
        self._stack.push_async_callback(self._close_session)
        self._stack.callback(self.entry_server.close)
        ticker = asyncio.ensure_future(self._run_periodic_work())
        self._stack.callback(ticker.cancel)
        self._stack.callback(self._checks.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close the connections to entries and the session with the target."""
        await self._stack.aclose()

    def apply_report(self, report: TargetReport) -> bool:
        """Apply a report of the target; return ``False`` if it is outdated.

        A report of another instance than the session's may be a delayed one of an
        instance that has ended. It counts once that instance has answered a poll.
        """
        session = self._session
        if not self._history.accept_report(report, self._events):
            return False
        if session is None:
            self._open_session(report)
            return True
        if session.report.instance != report.instance:
            self._checks.start(report, partial(self._replace_instance, session, report))
            return True
        if report.sequence <= session.report.sequence:
            return False
        is_first = is_expected(session.report)
        if is_first and not is_same_target(session.report, report):
            self._drop_session(target_ended=False)
            self._open_session(report)
            return True
        starts_draining = report.draining and not session.report.draining
        former = (session.report.kind, session.report.cold, session.report.capacity)
        session.apply_report(report)
        if starts_draining:
            self._events.emit(Event.TARGET_DRAINING, target=report.target_id)
            self._refuse_backlog()
        current = (report.kind, report.cold, report.capacity)
        if starts_draining or is_first or former != current:
            self.capacity_changed()
        return True

    def handle_target_left(self, target_id: str) -> None:
        """End the session with an instance that announces its end.

        It ends after the response, or seconds later if it gets none; until then its
        runs go on as long as their lease.
        """
        session = self._session
        if session is None or session.report.target_id != target_id:
            return
        self._history.record_leave(session.report.instance)
        _run_to_end(self._closing_tasks, session.lose(target_ended=True, leaving=True))

    def run_ended(self, run: Run, end: RunEnd, run_s: float) -> None:
        """Report the end of a run to its entry, and start waiting runs."""
        run_ms = min(int(run_s * 1000), MAX_COUNT)
        self._events.emit(
            Event.RUN_ENDED,
            task=str(run.task),
            run=run.run_number,
            end=end.value,
            run_ms=run_ms,
            entry=run.entry,
            evidence=run.evidence.value,
        )
        self._state_reporter.report_end(
            run.entry, RunEnded(run.task, run.run_number, end, run_ms)
        )
        self.capacity_changed()

    def capacity_changed(self) -> None:
        """Start or refuse waiting runs, and send the new state to the entries."""
        self._start_waiting_runs()
        self._refuse_excess_runs()
        self._state_reporter.mark_changed()

    def session_lost(self, session: TargetSession, *, target_ended: bool) -> None:
        """Drop the session with a target instance that rejects its commands.

        If the instance is still there, its next report opens a new session with a
        higher fencing token, which first stops the runs that this one left behind.
        """
        if session is self._session:
            self._drop_session(target_ended=target_ended)
            if target_ended and session.next_born_ms is not None:
                self._open_session(expect_report(session.report, session.next_born_ms))
            elif target_ended and session.report.born_ms is not None:
                token = self._history.get_least_token(session.report.instance)
                self._checks.await_next(
                    session.report,
                    FencedLease(token),
                    lambda: self._session is None,
                    self._open_session,
                )

    def entry_connected(self, peer: EntryPeer) -> None:
        """Send the state of the target to a new entry."""
        self._state_reporter.send_state(peer)
        self._crash_reporter.send_known(peer)
        self._state_reporter.mark_changed()

    def message_received(self, peer: EntryPeer, message: AnyHeldMessage) -> None:
        """Handle requests to start or stop runs, and news of emptied data centres."""
        if isinstance(message, StartRuns):
            peer.handled_sequence = message.sequence
            self._handle_start(peer, message)
        elif isinstance(message, StopRuns):
            self._handle_stop(peer, set(message.tasks))
        elif isinstance(message, Evacuations):
            self.evacuation.handle_message(peer, message)

    def entry_disconnected(self, peer: EntryPeer) -> None:
        """Stop the runs of an entry, as its callers may resend their jobs elsewhere."""
        self.evacuation.remove_entry(peer)
        self._backlog.remove_matching(lambda run: run.entry == peer.incarnation)
        if self._session is not None:
            self._session.stop_runs_of(peer.incarnation, silent_s=peer.channel.silent_s)
        self._state_reporter.mark_changed()

    async def drain(self, timeout_s: float) -> None:
        """Refuse new runs and wait until the started ones have ended.

        :param timeout_s: longest wait in seconds.
        """
        self._draining = True
        self._refuse_backlog()
        self.capacity_changed()
        end_at = self._clock() + timeout_s
        while self.running_count and self._clock() < end_at:
            await asyncio.sleep(DRAIN_POLL_S)
        # Leaves time to send the last reports before the connections are closed.
        await asyncio.sleep(DRAIN_POLL_S)

    def _replace_instance(
        self, former: TargetSession, report: TargetReport, state: InstanceState
    ) -> None:
        """Open a session with another instance if that one is present.

        A machine has one instance at a time, so the former one has ended then.
        """
        # A session that was opened meanwhile may be with a newer instance.
        if self._session not in {None, former}:
            return
        if state is InstanceState.PRESENT:
            self._open_session(report)
            return
        if state is InstanceState.ENDED:
            self._history.record_end(report.instance)
        self._events.emit(
            Event.REPORT_IGNORED,
            target=report.target_id,
            reason=f'other instance than in use: {state.name.lower()}',
        )

    def _open_session(self, report: TargetReport) -> None:
        self._drop_session(target_ended=True)
        self._history.record_use(report.instance, self._events)
        self._events.emit(
            Event.TARGET_JOINED,
            target=report.target_id,
            pool=report.pool,
            cpu=report.capacity.cpu,
            memory_mb=report.capacity.memory_mb,
            draining=report.draining,
        )
        self._session = TargetSession(
            self._client_factory.create_client(report),
            report,
            self,
            self._events,
            self._clock,
            self.entry_server.measure_silence,
            self._history,
            self._unconfirmed,
            self._crash_reporter.create_detector(report),
            self._max_report_age_s,
        )
        self._session.start_polling()

    def _drop_session(self, *, target_ended: bool) -> None:
        session = self._session
        if session is None:
            return
        self._session = None
        if target_ended:
            self._history.record_end(session.report.instance)
        _run_to_end(self._closing_tasks, session.close())
        self._refuse_backlog()
        session.end_lost_runs(target_ended=target_ended)
        self._state_reporter.mark_changed()

    async def _close_session(self) -> None:
        if self._session is not None:
            await self._session.close()

    def _handle_start(self, peer: EntryPeer, message: StartRuns) -> None:
        now = self._clock()
        for request in message.runs:
            run = Run(
                task=request.task,
                run_number=request.run_number,
                entry=peer.incarnation,
                payload=message.payload,
                need=message.need,
                expected_run_s=message.expected_run_ms / 1000,
                latest_start_at=now + message.latest_start_in_ms / 1000,
                expires_at=now + message.expires_in_ms / 1000,
                rank=message.rank,
                job_started=message.started,
                rate=message.rate,
                service=message.service,
                suspect=message.suspect,
            )
            refusal = self._find_refusal(request, message.need)
            if refusal is None:
                self._backlog.add(run)
            else:
                self._refuse_run(run, refusal)
        self._start_waiting_runs()
        self._refuse_excess_runs()
        self._state_reporter.mark_changed()

    def _find_refusal(self, request: RunRequest, need: Resources) -> RunEnd | None:
        # A reservation of less than nothing would add to the free capacity.
        if min(need.cpu, need.memory_mb) < 0:
            return RunEnd.REFUSED_COMMAND
        session = self._session
        started = request.task in self._unconfirmed or (
            session is not None and session.has_run(request.task)
        )
        if started:
            # Before all else: the task must not run elsewhere yet.
            return RunEnd.REFUSED_DUPLICATE
        if (
            self.evacuation.in_force
            or self._draining
            or session is None
            or not session.accepting
        ):
            return RunEnd.REFUSED_NOT_ACCEPTING
        if not session.reservations.capacity.covers(need):
            return RunEnd.REFUSED_NO_CAPACITY
        present = self._backlog.contains(request.task)
        return RunEnd.REFUSED_DUPLICATE if present else None

    def _refuse_excess_runs(self) -> None:
        """Refuse the least urgent runs beyond the backlog limit."""
        session = self._session
        if session is None or not session.accepting or self.evacuation.in_force:
            self._refuse_backlog()
            return
        capacity = session.reservations.capacity
        excess = self._backlog.remove_matching(
            lambda run: not capacity.covers(run.need)
        )
        limit_cpu = capacity.cpu * MAX_BACKLOG_SHARE if session.may_start() else 0
        excess += self._backlog.remove_excess(limit_cpu)
        for run in excess:
            self._refuse_run(run, RunEnd.REFUSED_NO_CAPACITY)

    def _refuse_backlog(self) -> None:
        for run in self._backlog.remove_matching(lambda _: True):
            self._refuse_run(run, RunEnd.REFUSED_NOT_ACCEPTING)

    def _refuse_run(self, run: Run, end: RunEnd) -> None:
        run.state = RunState.ENDED
        self._events.emit(
            Event.RUN_REFUSED, task=str(run.task), run=run.run_number, reason=end.value
        )
        self._state_reporter.report_end(
            run.entry, RunEnded(run.task, run.run_number, end)
        )

    def _start_waiting_runs(self) -> None:
        session = self._session
        if session is None or self._draining or self.evacuation.in_force:
            return
        now = self._clock()
        for run in self._backlog:
            if run.expires_at <= now:
                self._backlog.remove(run)
                self._refuse_run(run, RunEnd.REFUSED_COMMAND)
            elif session.start_run(run):
                self._backlog.remove(run)

    def _handle_stop(self, peer: EntryPeer, tasks: set[TaskKey]) -> None:
        withdrawn = self._backlog.remove_matching(
            lambda run: run.entry == peer.incarnation and run.task in tasks
        )
        for run in withdrawn:
            self._refuse_run(run, RunEnd.REFUSED_COMMAND)
        if self._session is not None:
            self._session.stop_runs_of(peer.incarnation, tasks)
        self._state_reporter.mark_changed()

    def _build_state(self, peer: EntryPeer) -> TargetState:
        entry_count = len(self.entry_server)
        session = self._session
        if session is None:
            return TargetState(
                '',
                False,
                NO_RESOURCES,
                NO_RESOURCES,
                0,
                1.0,
                peer.handled_sequence,
                entry_count,
            )
        pool, accepting = self._find_availability()
        return TargetState(
            pool,
            accepting,
            session.reservations.capacity,
            session.reservations.free,
            self._backlog.waiting_cpu,
            session.health.slowdown,
            peer.handled_sequence,
            entry_count,
            *session.rate_learner.describe(session.report),
        )

    def _find_availability(self) -> tuple[str, bool]:
        session = self._session
        if session is None:
            return ('', False)
        closed = self._draining or self.evacuation.in_force
        return (session.report.pool, session.may_start() and not closed)

    async def _run_periodic_work(self) -> None:
        last_heartbeat_at = self._clock()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            run_guarded(
                self._events,
                self.entry_server.disconnect_silent,
                self._unconfirmed.end_expired,
                self._start_waiting_runs,
                self._refuse_excess_runs,
                self._state_reporter.send_outdated_states,
            )
            if self._clock() - last_heartbeat_at >= HEARTBEAT_CHECK_S:
                last_heartbeat_at = self._clock()
                run_guarded(self._events, self.entry_server.send_heartbeats)


def _run_to_end(
    tasks: set[asyncio.Task[None]], work: Coroutine[Any, Any, None]
) -> None:
    """Start a task, and keep it in a set until it is done."""
    task = asyncio.create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
