"""Connections of an entry to agents, with heartbeats and the state of each agent."""

import asyncio
from abc import ABC
from abc import abstractmethod
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

from endivetally_core.backoff import Backoff
from endivetally_core.clock import monotonic_now
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_policy.held import SUSPECT_INTERVAL_S
from endivetally_policy.held import AgentLoad
from endivetally_policy.held import KindRate
from endivetally_policy.held import RateChangeDetector
from endivetally_policy.held import ReportedRate
from endivetally_policy.held import Resources
from endivetally_policy.held import pool_rates
from endivetally_policy.held.resources import NO_RESOURCES

from endivetally_held.channel import Channel
from endivetally_held.channel import ChannelHandler
from endivetally_held.evacuation import EntryEvacuations
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import MAX_COUNT
from endivetally_held.messages import MAX_MILLISECONDS
from endivetally_held.messages import AgentHello
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import EntryHello
from endivetally_held.messages import RunEnded
from endivetally_held.messages import RunRequest
from endivetally_held.messages import StartRuns
from endivetally_held.messages import StopRuns
from endivetally_held.messages import TargetCrashed
from endivetally_held.messages import TargetState

# Connecting to another data centre of the region takes some milliseconds; a machine
# without power never responds.
CONNECT_TIMEOUT_S: Final = 0.5
FIRST_RECONNECT_S: Final = 0.1
LONGEST_RECONNECT_S: Final = 1.0
# Targets report to their agents every 1.5 s. An agent that has not announced a target
# within this time after it was added or connected is assumed to have none.
TARGET_REPORT_INTERVAL_S: Final = 1.5
# Interval at which the rates of targets are pooled; they change over tens of runs.
RATE_INTERVAL_S: Final = 0.5
# The largest rate that is learned; see `endivetally_policy.held.rates`.
MAX_COLD_OVERAGE: Final = 20.0

Connect = Callable[[Address, Callable[[], Channel]], Awaitable[Channel]]


class AgentPeer:
    """A connected agent and its load.

    The load combines the state that the agent sent last with the tasks that were sent
    to it and that this state does not include yet.

    :ivar active_tasks: numbers of the newest runs that were requested and whose end
        the agent has not reported, by task.
    """

    def __init__(self, hello: AgentHello, channel: Channel, address: Address) -> None:
        self.name = hello.agent
        self.address = address
        self.channel = channel
        self.pool = ''
        self.entry_count = 1
        self.reported_rate = ReportedRate('', 1.0, 0, 0)
        self.cold = False
        # Rate by which the agent judges run times.
        self.judged_rate = 1.0
        self.active_tasks: dict[TaskKey, int] = {}
        # Pool and time of the last crash of the target; the pool is empty if none.
        self.crashed_pool = ''
        self.crashed_at: float = 0
        self._suspect: TaskKey | None = None
        self._suspect_sent_at: float = 0
        self.load = AgentLoad(
            hello.agent, hello.data_centre, NO_RESOURCES, NO_RESOURCES, 0, 1.0, False
        )
        self._sequence = 0
        # Sequence, number of tasks and need per task of the start requests that the
        # last received state does not include.
        self._in_flight: deque[tuple[int, int, Resources]] = deque()

    def has_recent_suspect(self, now: float) -> bool:
        """Return whether a suspect was sent that may still crash the target.

        :param now: monotonic time in seconds.
        """
        since = now - SUSPECT_INTERVAL_S
        return self._suspect in self.active_tasks and self._suspect_sent_at > since

    def record_suspect(self, task: TaskKey, now: float) -> None:
        """Record that a suspect is sent.

        :param now: monotonic time in seconds.
        """
        self._suspect = task
        self._suspect_sent_at = now

    def apply_state(self, state: TargetState) -> bool:
        """Apply a state; return whether the pool or the acceptance of tasks changed."""
        before = (self.pool, self.load.accepting)
        self.pool = state.pool
        self.entry_count = max(state.entry_count, 1)
        self.reported_rate = ReportedRate(
            state.kind, state.rate, state.rate_runs, state.capacity.cpu / 1000
        )
        self.cold = state.cold
        load = self.load
        load.capacity = state.capacity
        load.free = state.free
        load.backlog_cpu = state.backlog_cpu
        load.slowdown = state.slowdown
        load.accepting = state.accepting
        while self._in_flight and self._in_flight[0][0] <= state.handled_sequence:
            self._in_flight.popleft()
        for _, count, need in self._in_flight:
            for _ in range(count):
                self.reserve(need)
        return before != (self.pool, load.accepting)

    def reserve(self, need: Resources) -> None:
        """Count a task that was sent, or is about to be sent, in the load."""
        load = self.load
        if load.free.covers(need):
            load.free = load.free.minus(need)
        else:
            load.backlog_cpu += need.cpu

    def start_runs(
        self,
        runs: list[RunRequest],
        payload: str,
        need: Resources,
        expected_run_s: float,
        latest_start_in_s: float,
        expires_in_s: float,
        rank: float = 0,
        *,
        started: bool = False,
        service: str = '',
        suspect: bool = False,
    ) -> None:
        """Request runs of tasks of one job, after `reserve` was called for each.

        :param expected_run_s: run time to expect on a healthy target, in seconds.
        :param latest_start_in_s: seconds until a start is too late for the objective.
        :param expires_in_s: seconds until the agent must refuse to start the runs.
        :param rank: rank of the job; 0 where services do not compete.
        :param started: whether the job has started, where services compete.
        :param service: name of the service of the job.
        :param suspect: whether the runs may crash the target.
        """
        self._sequence += 1
        self._in_flight.append((self._sequence, len(runs), need))
        self.active_tasks.update((run.task, run.run_number) for run in runs)
        self.channel.post(
            StartRuns(
                self._sequence,
                runs,
                payload,
                need,
                _to_milliseconds(expected_run_s, 0, MAX_COUNT),
                _to_milliseconds(
                    latest_start_in_s, -MAX_MILLISECONDS, MAX_MILLISECONDS
                ),
                _to_milliseconds(expires_in_s, -MAX_MILLISECONDS, MAX_MILLISECONDS),
                rank,
                started,
                self.judged_rate,
                service,
                suspect,
            )
        )

    def record_end(self, ended: RunEnded) -> None:
        """Record the end of a run, which may be older than the newest of its task."""
        if self.active_tasks.get(ended.task) == ended.run_number:
            del self.active_tasks[ended.task]

    def stop_runs(self, tasks: list[TaskKey]) -> None:
        """Request the end of the runs of these tasks."""
        self.channel.post(StopRuns(tasks))


class AgentListener(ABC):
    """Receives the events of the connections to agents."""

    @abstractmethod
    def agent_state_changed(self, peer: AgentPeer) -> None:
        """Handle a new state of an agent."""

    @abstractmethod
    def run_ended(self, peer: AgentPeer, ended: RunEnded) -> None:
        """Handle the end of a run."""

    @abstractmethod
    def target_crashed(self, peer: AgentPeer, message: TargetCrashed) -> None:
        """Handle a crash of an agent's target, or a new state of it."""

    @abstractmethod
    def agent_disconnected(self, peer: AgentPeer) -> None:
        """Handle the end of a connection; the agent's runs end in bounded time."""


class _Connection(ChannelHandler):
    """One connection to an agent, from its handshake to its end.

    ``identified`` tells whether the agent has identified itself, as soon as it has or
    can no longer do so.

    :param owner: handles the messages of the agent.
    """

    def __init__(self, owner: 'AgentConnections', address: Address) -> None:
        loop = asyncio.get_running_loop()
        self.identified: asyncio.Future[bool] = loop.create_future()
        self.ended = asyncio.Event()
        self._owner = owner
        self._address = address
        self._peer: AgentPeer | None = None

    def channel_opened(self, channel: Channel) -> None:
        """Identify the entry to the agent."""
        channel.post(self._owner.hello)
        self._owner.evacuations.add_channel(channel)

    def batch_received(self, channel: Channel, batch: list[AnyHeldMessage]) -> None:
        """Handle the messages of the agent, the first of which identifies it."""
        if self._peer is None:
            hello = batch[0] if batch else None
            if not isinstance(hello, AgentHello):
                raise MalformedMessage('the first message is not an AgentHello')
            peer = AgentPeer(hello, channel, self._address)
            self._owner.add_peer(peer)
            self._peer = peer
            if not self.identified.done():
                self.identified.set_result(True)
            batch = batch[1:]
        self._owner.handle_messages(self._peer, batch)

    def channel_closed(self, channel: Channel, reason: str) -> None:
        """Remove the agent."""
        self._owner.evacuations.remove_channel(channel)
        self.ended.set()
        if not self.identified.done():
            self.identified.set_result(False)
        if self._peer is not None:
            self._owner.remove_peer(self._peer, reason)


class AgentConnections:
    """Maintains a connection to each agent of a set, in one asyncio task per agent.

    :param incarnation: identifies the process of the entry.
    :param connect: opens a connection or raises ``OSError``.
    :param cold_overage: expected run time on a cold target relative to a warm one.
    :ivar kind_rates: rates of the kinds of targets, by pool and kind.
    """

    def __init__(
        self,
        incarnation: str,
        data_centre: str,
        listener: AgentListener,
        events: EventLog,
        clock: Callable[[], float] = monotonic_now,
        connect: Connect | None = None,
        cold_overage: float = 1.0,
    ) -> None:
        self.peers: dict[str, AgentPeer] = {}
        self.hello = EntryHello(incarnation, data_centre)
        self.evacuations = EntryEvacuations(events, clock)
        self._listener = listener
        self._events = events
        self._clock = clock
        self._unwanted: set[Address] = set()
        # When an agent was added or connected; removed once its target accepts work.
        self._joining_since: dict[Address, float] = {}
        self._connection_tasks: dict[Address, asyncio.Task[None]] = {}
        self._connect = connect or _connect
        self.kind_rates: dict[tuple[str, str], KindRate] = {}
        # In this order, a value that is not a number counts as 1.
        self._cold_overage = min(max(1.0, cold_overage), MAX_COLD_OVERAGE)
        self._rates_updated_at = -RATE_INTERVAL_S
        self._rate_changes = RateChangeDetector()

    def find_accepting_peers(self, pool: str) -> list[AgentPeer]:
        """Return the agents whose targets accept work of a pool.

        Those in emptied data centres are left out, whatever they report.
        """
        return [
            peer
            for peer in self.peers.values()
            if peer.pool == pool and peer.load.accepting and not self._is_emptied(peer)
        ]

    def find_closed_peer(self, name: str) -> AgentPeer | None:
        """Return the agent of this name if it is connected but may get no new work."""
        peer = self.peers.get(name)
        if peer is None or (peer.load.accepting and not self._is_emptied(peer)):
            return None
        return peer

    def all_emptied(self, pool: str) -> bool:
        """Return whether every agent that could serve a pool is in an emptied one."""
        if not self.evacuations.current.data_centres or self.joining_count:
            return False
        # An agent without a target may get one of any pool.
        peers = [peer for peer in self.peers.values() if peer.pool in {pool, ''}]
        return bool(peers) and all(map(self._is_emptied, peers))

    @property
    def joining_count(self) -> int:
        """Number of recently added or connected agents that have no target yet."""
        since = self._clock() - TARGET_REPORT_INTERVAL_S
        emptied = {
            peer.address for peer in self.peers.values() if self._is_emptied(peer)
        }
        return sum(
            began_at > since and address not in emptied
            for address, began_at in self._joining_since.items()
        )

    def set_agents(self, wanted: set[Address]) -> None:
        """Connect to the agents at these addresses.

        Connections to other agents are closed once none of this entry's tasks runs
        there.
        """
        for address in wanted - set(self._connection_tasks):
            self._joining_since[address] = self._clock()
            self._connection_tasks[address] = asyncio.create_task(
                self._maintain_connection(address)
            )
        self._unwanted = set(self._connection_tasks) - wanted
        self._close_unwanted()

    def send_heartbeats(self) -> None:
        """Disconnect agents that timed out, send the others heartbeats if necessary."""
        self._close_unwanted()
        if self._clock() >= self._rates_updated_at + RATE_INTERVAL_S:
            self.update_rates()
        for peer in list(self.peers.values()):
            if peer.channel.timed_out:
                peer.channel.close('silent')
            else:
                peer.channel.send_heartbeat()

    def update_rates(self) -> None:
        """Pool the rates of the targets, by pool and kind."""
        self._rates_updated_at = self._clock()
        by_pool: dict[str, list[AgentPeer]] = {}
        for peer in self.peers.values():
            by_pool.setdefault(peer.pool, []).append(peer)
        self.kind_rates = {
            (pool, kind): rate
            for pool, peers in by_pool.items()
            for kind, rate in self._apply_rates(peers).items()
        }
        self._report_rates()

    def disconnect_all(self, reason: str) -> None:
        """Close all connections; they are reopened after a delay."""
        for peer in list(self.peers.values()):
            peer.channel.close(reason)

    def close(self) -> None:
        """Close all connections for good."""
        for task in self._connection_tasks.values():
            task.cancel()
        self._connection_tasks.clear()
        self.disconnect_all('closing')

    def add_peer(self, peer: AgentPeer) -> None:
        """Add an agent that has identified itself.

        :raises LinkClosed: when it is already connected under another address.
        """
        former = self.peers.get(peer.name)
        if former is not None and not former.channel.closed:
            raise LinkClosed(f'{peer.name} is connected at {former.address}')
        self.peers[peer.name] = peer
        self._joining_since[peer.address] = self._clock()
        self._events.emit(Event.AGENT_LINKED, agent=peer.name, agents=len(self.peers))

    def handle_messages(self, peer: AgentPeer, batch: list[AnyHeldMessage]) -> None:
        """Handle the messages of an agent."""
        for message in batch:
            if self.peers.get(peer.name) is not peer:
                return
            if isinstance(message, TargetState):
                self._handle_state(peer, message)
            elif isinstance(message, RunEnded):
                peer.record_end(message)
                self._listener.run_ended(peer, message)
            elif isinstance(message, TargetCrashed):
                self._listener.target_crashed(peer, message)

    def remove_peer(self, peer: AgentPeer, reason: str) -> None:
        """Remove an agent whose connection has ended."""
        if self.peers.get(peer.name) is not peer:
            return
        del self.peers[peer.name]
        self._events.emit(
            Event.AGENT_LOST,
            agent=peer.name,
            reason=reason,
            tasks=len(peer.active_tasks),
            heard_ms_ago=int((self._clock() - peer.channel.last_received_at) * 1000),
        )
        self._listener.agent_disconnected(peer)

    def _is_emptied(self, peer: AgentPeer) -> bool:
        return peer.load.data_centre in self.evacuations.current.data_centres

    def _close_unwanted(self) -> None:
        busy = {peer.address for peer in self.peers.values() if peer.active_tasks}
        for address in self._unwanted - busy:
            self._connection_tasks.pop(address).cancel()
            self._joining_since.pop(address, None)
        self._unwanted &= busy

    def _apply_rates(self, peers: list[AgentPeer]) -> Mapping[str, KindRate]:
        """Set the rates of the targets of one pool; return those of its kinds."""
        pooled = pool_rates({peer.name: peer.reported_rate for peer in peers})
        for peer in peers:
            overage = self._cold_overage if peer.cold else 1.0
            kind_rate = pooled.kinds.get(peer.reported_rate.kind)
            peer.load.rate = pooled.targets[peer.name] * overage
            judged = kind_rate.rate if kind_rate else 1.0
            peer.judged_rate = judged * overage
        return pooled.kinds

    def _report_rates(self) -> None:
        names = {f'{pool}/{kind}': (pool, kind) for pool, kind in self.kind_rates}
        self._rate_changes.keep_only(names)
        for name, key in names.items():
            each = self.kind_rates[key]
            former = self._rate_changes.check(name, each.rate, self._rates_updated_at)
            if former is not None:
                self._events.emit(
                    Event.RATE_CHANGED,
                    pool=key[0],
                    kind=key[1],
                    rate=round(each.rate, 3),
                    former_rate=round(former, 3),
                    runs=each.runs,
                )

    async def _maintain_connection(self, address: Address) -> None:
        """Connect again whenever the connection ends, until cancelled."""
        backoff = Backoff(FIRST_RECONNECT_S)
        failure_reported = False
        while True:
            try:
                await self._run_connection(address)
                backoff.reset()
                failure_reported = False
            except (OSError, ValueError) as error:
                # A host that has no encoding raises UnicodeError, a ValueError.
                if not failure_reported:
                    failure_reported = True
                    self._events.emit(
                        Event.AGENT_UNREACHABLE,
                        address=str(address),
                        reason=f'{type(error).__name__}: {error}',
                    )
            await backoff.wait(LONGEST_RECONNECT_S)

    async def _run_connection(self, address: Address) -> None:
        """Keep a connection until it ends.

        :raises OSError: when there is no connection, or nobody who identifies
            themselves as an agent.
        """
        connection = _Connection(self, address)
        channel = await self._connect(address, lambda: Channel(connection, self._clock))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                identified = await connection.identified
            if not identified:
                raise ConnectionError('no agent has identified itself')
            await connection.ended.wait()
        finally:
            channel.close('closing')

    def _handle_state(self, peer: AgentPeer, state: TargetState) -> None:
        if state.accepting:
            self._joining_since.pop(peer.address, None)
        cold_before = peer.cold
        changed = peer.apply_state(state)
        if changed or peer.cold != cold_before:
            self.update_rates()
        if changed:
            self._events.emit(
                Event.AGENT_STATE_CHANGED,
                agent=peer.name,
                pool=state.pool,
                accepting=state.accepting,
                free_cpu=state.free.cpu,
                pace=round(state.slowdown, 2),
            )
        self._listener.agent_state_changed(peer)


def _to_milliseconds(seconds: float, lowest: int, highest: int) -> int:
    """Return milliseconds within the bounds of a message.

    An agent closes the connection on a message that exceeds them, and stops all runs
    of the entry.
    """
    return int(min(max(seconds * 1000, lowest), highest))


async def _connect(address: Address, create_channel: Callable[[], Channel]) -> Channel:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        _, channel = await loop.create_connection(
            create_channel, address.host, address.port
        )
    return channel
