"""The agent of the held path: wires links, backlog and the target's session."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final
from typing import Self

from endivetally_core.clock import PauseWatch
from endivetally_core.clock import steady_now
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_policy.held.resources import NOTHING
from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from endivetally_held.channel import HEARTBEAT_S
from endivetally_held.channel import Channel
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import AgentHello
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import EntryHello
from endivetally_held.messages import RunEnded
from endivetally_held.messages import RunOrder
from endivetally_held.messages import StartRuns
from endivetally_held.messages import StopRuns
from endivetally_held.messages import TargetState
from endivetally_held.ports import TargetDialer
from endivetally_held.ports import TargetReport
from endivetally_held.session import Run
from endivetally_held.session import RunState
from endivetally_held.session import SessionListener
from endivetally_held.session import TargetSession

TICK_S: Final = 0.05
# Ended lives of the target whose delayed reports are known as such.
REMEMBERED_TARGETS: Final = 64
# States of one turn are told together; a third of the shortest round trip.
STATE_DELAY_S: Final = 0.005
# Drain: time left for what runs before the process is killed, and how often
# the end is looked for.
DRAIN_CHECK_S: Final = 0.05
# A backlog in cores relative to the capacity beyond which orders are refused;
# entries keep well below it, but they do not know of each other's orders.
BACKLOG_SHARE: Final = 0.35


@dataclass(slots=True, eq=False)
class _EntryPeer:
    """One linked entry."""

    incarnation: str
    channel: Channel
    handled: int = 0


class _LinkServer(TCPServer):
    """Accepts the links of entries."""

    def __init__(self, agent: 'HeldAgent') -> None:
        super().__init__()
        self._agent = agent

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one entry until its link ends."""
        await self._agent.serve_entry(stream)


class HeldAgent(SessionListener):
    """Runs tasks of entries at the target beside it.

    :param incarnation: name of this start of the process.
    :param dialer: makes a target from its report.
    """

    def __init__(
        self,
        incarnation: str,
        data_centre: str,
        dialer: TargetDialer,
        events: EventLog,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._dialer = dialer
        self._events = events
        self._clock = clock
        self._pauses = PauseWatch(clock=clock)
        self._session: TargetSession | None = None
        self._ended_targets: deque[str] = deque(maxlen=REMEMBERED_TARGETS)
        self._former: set[asyncio.Task[None]] = set()
        self._peers: dict[str, _EntryPeer] = {}
        self._backlog: list[Run] = []
        self._backlog_cpu = 0
        self._draining = False
        self._state_due = False
        self._last_state: tuple[object, ...] = ()
        self._server = _LinkServer(self)
        self._stack = AsyncExitStack()

    @property
    def linked_entries(self) -> int:
        """Number of linked entries."""
        return len(self._peers)

    @property
    def running(self) -> int:
        """Attempts that hold room at the target."""
        return self._session.running if self._session else 0

    @property
    def waiting(self) -> int:
        """Attempts that wait for room."""
        return len(self._backlog)

    async def __aenter__(self) -> Self:
        """Start the periodic work."""
        self._stack.callback(self._server.stop)
        ticker = asyncio.ensure_future(self._tick())
        self._stack.callback(ticker.cancel)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Close links and session."""
        for peer in list(self._peers.values()):
            peer.channel.close()
        if self._session is not None:
            await self._session.close()
        await self._stack.aclose()

    def listen(self, port: int, host: str) -> None:
        """Accept links of entries at an address."""
        self._server.listen(port, host)

    def take_report(self, report: TargetReport) -> bool:
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
            self._refuse_backlog(RunEnd.REFUSED_CLOSED)
            self.room_changed()
        return True

    def target_left(self, target_id: str) -> None:
        """Take in that a life of the target has ended."""
        session = self._session
        if session is None or session.report.target_id != target_id:
            return
        self._events.emit(Event.TARGET_LEFT, target=target_id, reason='left')
        self._drop_session(ended=True)

    def run_ended(self, run: Run, end: RunEnd, run_s: float) -> None:
        """Tell the entry that ordered it, and use the room."""
        self._events.emit(
            Event.RUN_ENDED,
            task=str(run.task),
            run=run.number,
            end=end.value,
            run_ms=int(run_s * 1000),
        )
        peer = self._peers.get(run.owner)
        if peer is not None:
            peer.channel.post(RunEnded(run.task, run.number, end, int(run_s * 1000)))
        self.room_changed()

    def room_changed(self) -> None:
        """Start what waits, and tell the entries."""
        self._start_waiting()
        self._tell_state_soon()

    def target_replaced(self, *, ended: bool) -> None:
        """Forget a life of the target that takes no orders.

        Unless it has ended, its next report makes a new session with a higher
        token, which first stops what the former one left.
        """
        self._drop_session(ended=ended)

    async def serve_entry(self, stream: IOStream) -> None:
        """Serve the link of one entry until it ends."""
        channel = Channel(stream, self._clock)
        channel.post(AgentHello(self._incarnation, self._data_centre))
        peer: _EntryPeer | None = None
        reason = 'closed'
        try:
            while True:
                batch = await channel.receive()
                self._check_pause()
                if channel.closed:
                    raise LinkClosed('paused')
                for message in batch:
                    if peer is None:
                        peer = self._welcome(message, channel)
                    else:
                        self._handle(peer, message)
        except LinkClosed as error:
            reason = str(error)
        except MalformedMessage as error:
            reason = f'malformed: {error}'
        finally:
            channel.close()
            if peer is not None:
                self._lose(peer, reason)

    async def drain(self, limit_s: float) -> None:
        """Take nothing new, let what runs end, then return.

        :param limit_s: longest time for it.
        """
        self._draining = True
        self._refuse_backlog(RunEnd.REFUSED_CLOSED)
        self.room_changed()
        end_at = self._clock() + limit_s
        while self.running and self._clock() < end_at:
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
            self._dialer.dial(report), report, self, self._events, self._clock
        )
        self._session.begin()

    def _drop_session(self, *, ended: bool) -> None:
        session = self._session
        if session is None:
            return
        self._session = None
        if ended:
            self._ended_targets.append(session.report.target_id)
        closing = asyncio.ensure_future(session.close())
        self._former.add(closing)
        closing.add_done_callback(self._former.discard)
        self._refuse_backlog(RunEnd.REFUSED_CLOSED)
        session.end_all(RunEnd.LOST)
        self._tell_state_soon()

    def _welcome(self, message: AnyHeldMessage, channel: Channel) -> _EntryPeer:
        if not isinstance(message, EntryHello):
            raise MalformedMessage('the first message is no greeting')
        former = self._peers.get(message.entry)
        if former is not None:
            self._lose(former, 'linked again')
            former.channel.close()
        peer = _EntryPeer(message.entry, channel)
        self._peers[message.entry] = peer
        self._events.emit(
            Event.ENTRY_LINKED, entry=message.entry, entries=len(self._peers)
        )
        channel.post(self._state(peer))
        self._tell_state_soon()
        return peer

    def _lose(self, peer: _EntryPeer, reason: str) -> None:
        if self._peers.get(peer.incarnation) is not peer:
            return
        del self._peers[peer.incarnation]
        dropped = [run for run in self._backlog if run.owner == peer.incarnation]
        for run in dropped:
            self._remove_waiting(run)
        if self._session is not None:
            self._session.stop_owned(peer.incarnation)
        self._events.emit(
            Event.ENTRY_LOST,
            entry=peer.incarnation,
            reason=reason,
            dropped=len(dropped),
            heard_ms_ago=int((self._clock() - peer.channel.heard_at) * 1000),
        )

    def _handle(self, peer: _EntryPeer, message: AnyHeldMessage) -> None:
        if isinstance(message, StartRuns):
            peer.handled = message.sequence
            self._take_orders(peer, message)
        elif isinstance(message, StopRuns):
            self._stop_runs(peer, message.tasks)

    def _take_orders(self, peer: _EntryPeer, message: StartRuns) -> None:
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
                self._backlog.append(run)
                self._backlog_cpu += run.need.cpu
            else:
                self._refuse(run, refusal)
        self._backlog.sort(key=_start_by)
        self._start_waiting()
        self._refuse_excess()
        self._tell_state_soon()

    def _refusal(self, order: RunOrder, need: Resources) -> RunEnd | None:
        session = self._session
        if self._draining or session is None or not session.accepting:
            return RunEnd.REFUSED_CLOSED
        if not session.room.capacity.covers(need):
            return RunEnd.REFUSED_ROOM
        waiting = any(run.task == order.task for run in self._backlog)
        return RunEnd.REFUSED_PRESENT if waiting or session.holds(order.task) else None

    def _refuse_excess(self) -> None:
        """Refuse what would wait too long, the least urgent first."""
        session = self._session
        if session is None:
            return
        limit = session.room.capacity.cpu * BACKLOG_SHARE
        if not session.may_start():
            limit = 0
        while self._backlog and self._backlog_cpu > limit:
            run = self._backlog[-1]
            self._remove_waiting(run)
            self._refuse(run, RunEnd.REFUSED_ROOM)

    def _refuse_backlog(self, end: RunEnd) -> None:
        for run in list(self._backlog):
            self._remove_waiting(run)
            self._refuse(run, end)

    def _refuse(self, run: Run, end: RunEnd) -> None:
        run.state = RunState.ENDED
        self._events.emit(
            Event.RUN_REFUSED, task=str(run.task), run=run.number, reason=end.value
        )
        peer = self._peers.get(run.owner)
        if peer is not None:
            peer.channel.post(RunEnded(run.task, run.number, end))

    def _remove_waiting(self, run: Run) -> None:
        self._backlog.remove(run)
        self._backlog_cpu -= run.need.cpu

    def _start_waiting(self) -> None:
        session = self._session
        if session is None or self._draining:
            return
        now = self._clock()
        for run in list(self._backlog):
            if run.give_up_at <= now:
                self._remove_waiting(run)
                self._refuse(run, RunEnd.REFUSED_ORDER)
            elif session.start(run):
                self._remove_waiting(run)

    def _stop_runs(self, peer: _EntryPeer, tasks: list[TaskKey]) -> None:
        wanted = set(tasks)
        for waiting in list(self._backlog):
            if waiting.task in wanted and waiting.owner == peer.incarnation:
                self._remove_waiting(waiting)
                self._refuse(waiting, RunEnd.REFUSED_ORDER)
        session = self._session
        if session is not None:
            for task in wanted:
                run = session.find(task)
                if run is not None and run.owner == peer.incarnation:
                    session.stop(run)
        self._tell_state_soon()

    def _state(self, peer: _EntryPeer) -> TargetState:
        session = self._session
        if session is None:
            return TargetState(
                '', False, NOTHING, NOTHING, 0, 1.0, peer.handled, len(self._peers)
            )
        accepting = session.may_start() and not self._draining
        return TargetState(
            session.report.pool,
            accepting,
            session.room.capacity,
            session.room.free,
            self._backlog_cpu,
            session.health.pace,
            peer.handled,
            len(self._peers),
        )

    def _tell_state_soon(self) -> None:
        if not self._state_due:
            self._state_due = True
            asyncio.get_running_loop().call_later(STATE_DELAY_S, self._tell_state)

    def _tell_state(self) -> None:
        self._state_due = False
        for peer in self._peers.values():
            peer.channel.post(self._state(peer))

    def _check_pause(self) -> None:
        paused_s = self._pauses.look()
        if not paused_s:
            return
        self._events.emit(Event.PROCESS_PAUSED, paused_ms=int(paused_s * 1000))
        # What came in meanwhile may be older than anybody still expects.
        for peer in list(self._peers.values()):
            self._lose(peer, 'paused')
            peer.channel.close()

    async def _tick(self) -> None:
        told_at = self._clock()
        while True:
            await asyncio.sleep(TICK_S)
            self._check_pause()
            for peer in list(self._peers.values()):
                if peer.channel.silent:
                    self._lose(peer, 'silent')
                    peer.channel.close()
            self._start_waiting()
            if self._clock() - told_at >= HEARTBEAT_S:
                told_at = self._clock()
                self._tell_state()


def _start_by(run: Run) -> float:
    return run.start_by
