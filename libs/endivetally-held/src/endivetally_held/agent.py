"""The agent of the held path: wires links, backlog and the target's session."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final
from typing import Self

from endivetally_core.clock import monotonic_now
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_policy.held.resources import NO_RESOURCES

from endivetally_held.backlog import Backlog
from endivetally_held.channel import HEARTBEAT_S
from endivetally_held.entry_server import EntryPeer
from endivetally_held.entry_server import EntryServer
from endivetally_held.entry_server import PeerListener
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import AgentHello
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import RunEnded
from endivetally_held.messages import RunRequest
from endivetally_held.messages import StartRuns
from endivetally_held.messages import StopRuns
from endivetally_held.messages import TargetState
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.session import SessionListener
from endivetally_held.session import TargetSession
from endivetally_held.target_client import TargetClientFactory
from endivetally_held.target_client import TargetReport

TICK_S: Final = 0.05
# Ended lives of the target whose delayed reports are known as such.
REMEMBERED_TARGETS: Final = 64
# States of some turns are told together: a tenth of the shortest tasks, which are
# the ones that wait for room.
STATE_DELAY_S: Final = 0.01
DRAIN_CHECK_S: Final = 0.05
# A backlog in cores relative to the capacity beyond which orders are refused;
# entries keep well below it, but they do not know of each other's orders.
BACKLOG_SHARE: Final = 0.35


class HeldAgent(SessionListener, PeerListener):
    """Runs tasks of entries at the target beside it.

    :param incarnation: name of this start of the process.
    :param dialer: makes a target from its report.
    """

    def __init__(
        self,
        incarnation: str,
        data_centre: str,
        dialer: TargetClientFactory,
        events: EventLog,
        clock: Callable[[], float] = monotonic_now,
    ) -> None:
        hello = AgentHello(incarnation, data_centre)
        self.entry_server = EntryServer(hello, self, events, clock)
        self._dialer = dialer
        self._events = events
        self._clock = clock
        self._session: TargetSession | None = None
        self._ended_targets: deque[str] = deque(maxlen=REMEMBERED_TARGETS)
        self._closing: set[asyncio.Task[None]] = set()
        self._backlog = Backlog()
        self._draining = False
        self._state_due = False
        self._stack = AsyncExitStack()

    @property
    def running_count(self) -> int:
        """Attempts that hold room at the target."""
        return self._session.running if self._session else 0

    @property
    def waiting_count(self) -> int:
        """Attempts that wait for room."""
        return len(self._backlog)

    async def __aenter__(self) -> Self:
        """Start the periodic work."""
        self._stack.push_async_callback(self._close_session)
        self._stack.callback(self.entry_server.close)
        ticker = asyncio.ensure_future(self._tick())
        self._stack.callback(ticker.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close links and session."""
        await self._stack.aclose()

    def apply_report(self, report: TargetReport) -> bool:
        """Take in what the target says of itself; false for an outdated report."""
        session = self._session
        if session is None or session.report.target_id != report.target_id:
            if report.target_id in self._ended_targets:
                return False
            self._join(report)
            return True
        if report.sequence <= session.report.sequence:
            return False
        drains = report.draining and not session.report.draining
        session.report = report
        if drains:
            self._events.emit(Event.TARGET_DRAINING, target=report.target_id)
            self._refuse_backlog()
            self.room_changed()
        return True

    def handle_target_left(self, target_id: str) -> None:
        """Take in that a life of the target has ended."""
        session = self._session
        if session is None or session.report.target_id != target_id:
            return
        self._events.emit(Event.TARGET_LEFT, target=target_id, reason='left')
        self._drop_session(ended=True)

    def run_ended(self, run: Run, end: RunEnd, run_s: float) -> None:
        """Tell the entry that ordered it, and use the room."""
        run_ms = int(run_s * 1000)
        self._events.emit(
            Event.RUN_ENDED,
            task=str(run.task),
            run=run.number,
            end=end.value,
            run_ms=run_ms,
        )
        peer = self.entry_server.find(run.owner)
        if peer is not None:
            peer.channel.post(RunEnded(run.task, run.number, end, run_ms))
        self.room_changed()

    def room_changed(self) -> None:
        """Start what waits, and tell the entries."""
        self._start_waiting()
        self._refuse_excess()
        self._tell_state_soon()

    def target_replaced(self, *, ended: bool) -> None:
        """Forget a life of the target that takes no orders.

        Unless it has ended, its next report makes a new session with a higher
        token, which first stops what the former one left.
        """
        self._drop_session(ended=ended)

    def peer_joined(self, peer: EntryPeer) -> None:
        """Tell a new entry the state of the target."""
        peer.channel.post(self._state(peer))
        self._tell_state_soon()

    def peer_said(self, peer: EntryPeer, message: AnyHeldMessage) -> None:
        """Take in orders."""
        if isinstance(message, StartRuns):
            peer.handled = message.sequence
            self._take_orders(peer, message)
        elif isinstance(message, StopRuns):
            self._stop_runs(peer, set(message.tasks))

    def peer_lost(self, peer: EntryPeer) -> None:
        """Stop what the entry ordered: its callers may ask elsewhere."""
        self._backlog.take(lambda run: run.owner == peer.incarnation)
        if self._session is not None:
            self._session.stop_owned(peer.incarnation)
        self._tell_state_soon()

    async def drain(self, limit_s: float) -> None:
        """Take nothing new, let what runs end, then return.

        :param limit_s: longest time for it.
        """
        self._draining = True
        self._refuse_backlog()
        self.room_changed()
        end_at = self._clock() + limit_s
        while self.running_count and self._clock() < end_at:
            await asyncio.sleep(DRAIN_CHECK_S)
        # Lets the ends leave before the links close.
        await asyncio.sleep(DRAIN_CHECK_S)

    def _join(self, report: TargetReport) -> None:
        self._drop_session(ended=True)
        self._events.emit(
            Event.TARGET_JOINED,
            target=report.target_id,
            pool=report.pool,
            cpu=report.capacity.cpu,
            memory_mb=report.capacity.memory_mb,
            draining=report.draining,
        )
        self._session = TargetSession(
            self._dialer.create_client(report), report, self, self._events, self._clock
        )
        self._session.begin()

    def _drop_session(self, *, ended: bool) -> None:
        session = self._session
        if session is None:
            return
        self._session = None
        if ended:
            self._ended_targets.append(session.report.target_id)
        closing = asyncio.create_task(session.close())
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)
        self._refuse_backlog()
        session.end_all(RunEnd.LOST)
        self._tell_state_soon()

    async def _close_session(self) -> None:
        if self._session is not None:
            await self._session.close()

    def _take_orders(self, peer: EntryPeer, message: StartRuns) -> None:
        now = self._clock()
        for order in message.orders:
            run = Run(
                task=order.task,
                number=order.run,
                owner=peer.incarnation,
                payload=message.payload,
                need=message.need,
                expected_s=message.expected_ms / 1000,
                start_by=now + message.start_within_ms / 1000,
                give_up_at=now + message.give_up_ms / 1000,
            )
            refusal = self._refusal(order, message.need)
            if refusal is None:
                self._backlog.add(run)
            else:
                self._refuse(run, refusal)
        self._start_waiting()
        self._refuse_excess()
        self._tell_state_soon()

    def _refusal(self, order: RunRequest, need: Resources) -> RunEnd | None:
        session = self._session
        if self._draining or session is None or not session.accepting:
            return RunEnd.REFUSED_CLOSED
        if not session.room.capacity.covers(need):
            return RunEnd.REFUSED_ROOM
        present = self._backlog.holds(order.task) or session.holds(order.task)
        return RunEnd.REFUSED_PRESENT if present else None

    def _refuse_excess(self) -> None:
        """Refuse what would wait too long, the least urgent first."""
        session = self._session
        if session is None or not session.accepting:
            self._refuse_backlog()
            return
        limit = session.room.capacity.cpu * BACKLOG_SHARE
        for run in self._backlog.take_excess(limit if session.may_start() else 0):
            self._refuse(run, RunEnd.REFUSED_ROOM)

    def _refuse_backlog(self) -> None:
        for run in self._backlog.take(lambda _: True):
            self._refuse(run, RunEnd.REFUSED_CLOSED)

    def _refuse(self, run: Run, end: RunEnd) -> None:
        run.state = RunState.ENDED
        self._events.emit(
            Event.RUN_REFUSED, task=str(run.task), run=run.number, reason=end.value
        )
        peer = self.entry_server.find(run.owner)
        if peer is not None:
            peer.channel.post(RunEnded(run.task, run.number, end))

    def _start_waiting(self) -> None:
        session = self._session
        if session is None or self._draining:
            return
        now = self._clock()
        for run in self._backlog:
            if run.give_up_at <= now:
                self._backlog.remove(run)
                self._refuse(run, RunEnd.REFUSED_ORDER)
            elif session.start(run):
                self._backlog.remove(run)

    def _stop_runs(self, peer: EntryPeer, tasks: set[TaskKey]) -> None:
        withdrawn = self._backlog.take(
            lambda run: run.owner == peer.incarnation and run.task in tasks
        )
        for run in withdrawn:
            self._refuse(run, RunEnd.REFUSED_ORDER)
        if self._session is not None:
            self._session.stop_owned(peer.incarnation, tasks)
        self._tell_state_soon()

    def _state(self, peer: EntryPeer) -> TargetState:
        entries = len(self.entry_server)
        session = self._session
        if session is None:
            return TargetState(
                '', False, NO_RESOURCES, NO_RESOURCES, 0, 1.0, peer.handled, entries
            )
        return TargetState(
            session.report.pool,
            session.may_start() and not self._draining,
            session.room.capacity,
            session.room.free,
            self._backlog.cpu,
            session.health.slowdown,
            peer.handled,
            entries,
        )

    def _tell_state_soon(self) -> None:
        if not self._state_due:
            self._state_due = True
            asyncio.get_running_loop().call_later(STATE_DELAY_S, self._tell_state)

    def _tell_state(self) -> None:
        self._state_due = False
        for peer in self.entry_server:
            peer.channel.post(self._state(peer))

    async def _tick(self) -> None:
        told_at = self._clock()
        while True:
            await asyncio.sleep(TICK_S)
            self.entry_server.lose_silent()
            self._start_waiting()
            self._refuse_excess()
            if self._clock() - told_at >= HEARTBEAT_S:
                told_at = self._clock()
                self._tell_state()
