"""An entry's links to agents: dialling, heartbeats, what each agent tells."""

import asyncio
from abc import ABC
from abc import abstractmethod
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

from endivetally_core.backoff import Backoff
from endivetally_core.clock import monotonic_now
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import MalformedMessage
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_policy.held import AgentLoad
from endivetally_policy.held import Resources
from endivetally_policy.held.resources import NO_RESOURCES
from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from endivetally_held.channel import Channel
from endivetally_held.jobs import TaskKey
from endivetally_held.messages import AgentHello
from endivetally_held.messages import AnyHeldMessage
from endivetally_held.messages import EntryHello
from endivetally_held.messages import RunEnded
from endivetally_held.messages import RunRequest
from endivetally_held.messages import StartRuns
from endivetally_held.messages import StopRuns
from endivetally_held.messages import TargetState

# A connection between data centres of a region takes some milliseconds; a
# machine without power never answers.
DIAL_TIMEOUT_S: Final = 0.5
FIRST_REDIAL_S: Final = 0.1
LONGEST_REDIAL_S: Final = 1.0
# Targets report to their agents every 1.5 s; an agent of which nothing was heard
# for longer has no target.
TARGET_REPORT_S: Final = 1.5

Connect = Callable[[Address], Awaitable[IOStream]]


class AgentPeer:
    """One linked agent and the room that it told, less what was sent since."""

    def __init__(self, hello: AgentHello, channel: Channel, address: Address) -> None:
        self.name = hello.agent
        self.address = address
        self.channel = channel
        self.pool = ''
        self.entries = 1
        self.tasks: set[TaskKey] = set()
        self.room = AgentLoad(
            hello.agent, hello.data_centre, NO_RESOURCES, NO_RESOURCES, 0, 1.0, False
        )
        self._sequence = 0
        self._in_flight: deque[tuple[int, int, Resources]] = deque()

    def take_state(self, state: TargetState) -> bool:
        """Take in what the agent told; return whether it takes other work now."""
        before = (self.pool, self.room.accepting)
        self.pool = state.pool
        self.entries = max(state.entries, 1)
        room = self.room
        room.capacity = state.capacity
        room.free = state.free
        room.backlog_cpu = state.backlog_cpu
        room.slowdown = state.pace
        room.accepting = state.accepting
        while self._in_flight and self._in_flight[0][0] <= state.handled:
            self._in_flight.popleft()
        for _, count, need in self._in_flight:
            for _ in range(count):
                self.reserve(need)
        return before != (self.pool, room.accepting)

    def reserve(self, need: Resources) -> None:
        """Count a task that is sent, or is about to be."""
        room = self.room
        if room.free.covers(need):
            room.free = room.free.minus(need)
        else:
            room.backlog_cpu += need.cpu

    def send(
        self,
        orders: list[RunRequest],
        payload: str,
        need: Resources,
        expected_s: float,
        start_within_s: float,
        give_up_s: float,
    ) -> None:
        """Order runs of one job; their room was reserved before."""
        self._sequence += 1
        self._in_flight.append((self._sequence, len(orders), need))
        self.tasks.update(order.task for order in orders)
        self.channel.post(
            StartRuns(
                self._sequence,
                orders,
                payload,
                need,
                int(expected_s * 1000),
                int(start_within_s * 1000),
                int(give_up_s * 1000),
            )
        )

    def stop(self, tasks: list[TaskKey]) -> None:
        """Order the end of runs."""
        self.channel.post(StopRuns(tasks))


class AgentListener(ABC):
    """Told what agents say."""

    @abstractmethod
    def agent_changed(self, peer: AgentPeer) -> None:
        """Take in a new state of an agent."""

    @abstractmethod
    def attempt_ended(self, peer: AgentPeer, ended: RunEnded) -> None:
        """Take in the end of an attempt."""

    @abstractmethod
    def agent_lost(self, peer: AgentPeer) -> None:
        """Take in the end of a link; what runs there ends in bounded time."""


class AgentConnections:
    """Links to all agents of the directory, one task each.

    :param incarnation: name of this start of the entry.
    :param connect: opens a connection, or raises ``OSError``.
    """

    def __init__(
        self,
        incarnation: str,
        data_centre: str,
        listener: AgentListener,
        events: EventLog,
        clock: Callable[[], float] = monotonic_now,
        connect: Connect | None = None,
    ) -> None:
        self.peers: dict[str, AgentPeer] = {}
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._listener = listener
        self._events = events
        self._clock = clock
        self._surplus: set[Address] = set()
        # When an agent became known or was linked, until its target is told.
        self._awaited_since: dict[Address, float] = {}
        self._dials: dict[Address, asyncio.Task[None]] = {}
        self._connect = connect or _connect

    def peers_of(self, pool: str) -> list[AgentPeer]:
        """Return the agents whose targets take work of a pool."""
        return [
            peer
            for peer in self.peers.values()
            if peer.pool == pool and peer.room.accepting
        ]

    @property
    def awaited(self) -> int:
        """Agents that have just started, or become known, and lack a target yet."""
        since = self._clock() - TARGET_REPORT_S
        return sum(began_at > since for began_at in self._awaited_since.values())

    def set_agents(self, wanted: set[Address]) -> None:
        """Link to the agents at these addresses.

        Other links end once none of our tasks runs there.
        """
        for address in wanted - set(self._dials):
            self._awaited_since[address] = self._clock()
            self._dials[address] = asyncio.create_task(self._keep(address))
        self._surplus = set(self._dials) - wanted
        self._end_surplus()

    def beat(self, message: AnyHeldMessage) -> None:
        """Send a heartbeat to every agent, and end links that are silent."""
        self._end_surplus()
        for peer in list(self.peers.values()):
            if peer.channel.silent:
                self._lose(peer, 'silent')
            else:
                peer.channel.post(message)

    def lose_all(self, reason: str) -> None:
        """End all links."""
        for peer in list(self.peers.values()):
            self._lose(peer, reason)

    def close(self) -> None:
        """End all links and stop dialling."""
        for dial in self._dials.values():
            dial.cancel()
        self._dials.clear()
        self.lose_all('closing')

    def _end_surplus(self) -> None:
        busy = {peer.address for peer in self.peers.values() if peer.tasks}
        for address in self._surplus - busy:
            self._dials.pop(address).cancel()
            self._awaited_since.pop(address, None)
        self._surplus &= busy

    async def _keep(self, address: Address) -> None:
        """Keep a link to an address, as long as it is in the directory."""
        backoff = Backoff(FIRST_REDIAL_S)
        told = False
        while True:
            try:
                await self._serve(address)
                backoff.reset()
                told = False
            except (OSError, StreamClosedError, TimeoutError) as error:
                if not told:
                    told = True
                    self._events.emit(
                        Event.AGENT_UNREACHABLE,
                        address=str(address),
                        reason=f'{type(error).__name__}: {error}',
                    )
            await backoff.wait(LONGEST_REDIAL_S)

    async def _serve(self, address: Address) -> None:
        stream = await self._connect(address)
        channel = Channel(stream, self._clock)
        channel.post(EntryHello(self._incarnation, self._data_centre))
        peer: AgentPeer | None = None
        reason = 'closed'
        try:
            peer = await asyncio.wait_for(self._greet(channel, address), DIAL_TIMEOUT_S)
            if peer is not None:
                await self._read(peer)
        except (LinkClosed, MalformedMessage, TimeoutError) as error:
            reason = f'{type(error).__name__}: {error}'
        finally:
            channel.close()
            if peer is not None:
                self._lose(peer, reason)

    async def _greet(self, channel: Channel, address: Address) -> AgentPeer | None:
        batch = await channel.receive()
        if not isinstance(batch[0], AgentHello):
            raise MalformedMessage('the first message is no greeting')
        peer = AgentPeer(batch[0], channel, address)
        former = self.peers.get(peer.name)
        if former is not None and not former.channel.closed:
            # The same agent under two addresses.
            return None
        self.peers[peer.name] = peer
        self._awaited_since[address] = self._clock()
        self._events.emit(Event.AGENT_LINKED, agent=peer.name, agents=len(self.peers))
        self._take(peer, batch[1:])
        return peer

    async def _read(self, peer: AgentPeer) -> None:
        while True:
            self._take(peer, await peer.channel.receive())

    def _take(self, peer: AgentPeer, batch: list[AnyHeldMessage]) -> None:
        for message in batch:
            if self.peers.get(peer.name) is not peer:
                return
            if isinstance(message, TargetState):
                self._take_state(peer, message)
            elif isinstance(message, RunEnded):
                peer.tasks.discard(message.task)
                self._listener.attempt_ended(peer, message)

    def _take_state(self, peer: AgentPeer, state: TargetState) -> None:
        if state.accepting:
            self._awaited_since.pop(peer.address, None)
        if peer.take_state(state):
            self._events.emit(
                Event.AGENT_STATE_CHANGED,
                agent=peer.name,
                pool=state.pool,
                accepting=state.accepting,
                free_cpu=state.free.cpu,
                pace=round(state.pace, 2),
            )
        self._listener.agent_changed(peer)

    def _lose(self, peer: AgentPeer, reason: str) -> None:
        peer.channel.close()
        if self.peers.get(peer.name) is not peer:
            return
        del self.peers[peer.name]
        self._events.emit(
            Event.AGENT_LOST,
            agent=peer.name,
            reason=reason,
            tasks=len(peer.tasks),
            heard_ms_ago=int((self._clock() - peer.channel.heard_at) * 1000),
        )
        self._listener.agent_lost(peer)


async def _connect(address: Address) -> IOStream:
    return await TCPClient().connect(address.host, address.port, timeout=DIAL_TIMEOUT_S)
