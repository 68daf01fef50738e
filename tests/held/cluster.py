"""Entries, agents and targets on virtual time, with a network between them."""

import asyncio
import contextvars
import random

from differential.clock import Suspension
from differential.clock import node_context
from endivetally_config.text import Objective
from endivetally_config.text import OperatorsText
from endivetally_config.text import Service
from endivetally_config.text import ServiceKind
from endivetally_config.text import VersionedText
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_core.metrics import Metrics
from endivetally_held.agent import HeldAgent
from endivetally_held.entry import HeldEntry
from endivetally_held.jobs import HeldJob
from endivetally_held.jobs import Step
from endivetally_held.metrics import EntryMetrics
from endivetally_policy.held import Resources
from endivetally_standins.held_target import HeldTargetStandIn
from endivetally_standins.held_target import RunHistory
from endivetally_standins.held_target import StandInClientFactory
from tornado.iostream import StreamClosedError

LATENCY_S = 0.0015
CAPACITY = Resources(16_000, 32_768)
NEED = Resources(1600, 64)
SERVICE = Service(
    name='lookup',
    kind=ServiceKind.JOB,
    objective=Objective(response_ms=60),
    pool='pool',
    attempts=3,
    stretch=1.6,
)


class Network:
    """Delays, cuts and closes connections between named nodes."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.cuts = set()
        self.held = []

    def send(self, source, target, deliver):
        if (source, target) in self.cuts:
            self.held.append((source, target, deliver))
            return
        self.loop.call_later(LATENCY_S, deliver, context=contextvars.Context())

    def cut(self, source, target):
        self.cuts.add((source, target))

    def heal(self, source, target):
        self.cuts.discard((source, target))
        held, self.held = self.held, []
        for former_source, former_target, deliver in held:
            self.send(former_source, former_target, deliver)


class MemoryStream:
    """One end of a connection."""

    def __init__(self, network, here, there):
        self.network = network
        self.here = here
        self.there = there
        self.peer = None
        self.buffer = bytearray()
        self.arrived = asyncio.Event()
        self.is_closed = False

    def set_nodelay(self, value):
        """Accept the option."""

    def closed(self):
        return self.is_closed

    async def read_bytes(self, count):
        while len(self.buffer) < count:
            if self.is_closed:
                raise StreamClosedError
            self.arrived.clear()
            await self.arrived.wait()
        taken = bytes(self.buffer[:count])
        del self.buffer[:count]
        return taken

    def write(self, data):
        if self.is_closed:
            raise StreamClosedError
        peer = self.peer
        self.network.send(self.here, self.there, lambda: peer.deliver(data))
        done = self.network.loop.create_future()
        done.set_result(None)
        return done

    def deliver(self, data):
        if not self.is_closed:
            self.buffer.extend(data)
            self.arrived.set()

    def close(self):
        if self.is_closed:
            return
        self.is_closed = True
        self.arrived.set()
        self.network.send(self.here, self.there, self.peer.remote_closed)

    def remote_closed(self):
        self.is_closed = True
        self.arrived.set()


class Node:
    """A machine: its tasks stop together."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.suspension = Suspension()
        self.streams = []
        self.tasks = []
        self.alive = False

    def run(self, coroutine):
        """Run a coroutine as a task of this node."""
        context = node_context(self.suspension)
        task = self.world.loop.create_task(coroutine, context=context)
        self.tasks.append(task)
        return task

    def freeze(self):
        self.world.loop.stop_node(self.suspension)

    def wake(self):
        self.world.loop.resume_node(self.suspension)

    def kill(self):
        """End the processes; open connections are reset."""
        self.alive = False
        # What is left of the node never runs again.
        self.world.loop.stop_node(self.suspension)
        for stream in self.streams:
            stream.close()
        self.streams.clear()
        self.world.killed.append(self.suspension)
        self.suspension = Suspension()


class World:
    """A deployment of the held path.

    :param run_s: run time of each task.
    """

    def __init__(self, entries=2, agents=2, run_s=0.2, capacity=CAPACITY, seed=1):
        self.loop = asyncio.get_running_loop()
        self.random = random.Random(seed)
        self.network = Network()
        durations = {}

        def duration(task):
            if task not in durations:
                spread = self.random.uniform(0.9, 1.1)
                durations[task] = run_s * spread
            return durations[task]

        self.ledger = RunHistory(duration, lambda task: NEED)
        self.capacity = capacity
        self.events = EventLog('test', 'test', write=lambda lines: None)
        self.dialer = StandInClientFactory()
        self.entries = {}
        self.agents = {}
        self.targets = {}
        self.nodes = {}
        self.killed = []
        self.lives = 0
        self.agent_names = [f'agent-{number}' for number in range(agents)]
        self.entry_names = [f'entry-{number}' for number in range(entries)]

    async def start(self):
        for number, name in enumerate(self.agent_names):
            await self.new_target(name, rate=(1, 0.98)[number % 2])
            self.start_agent(name)
        for name in self.entry_names:
            self.start_entry(name)
        await asyncio.sleep(1)

    def finish(self):
        """Let what was killed or frozen end, after everything was checked."""
        for suspension in self.killed:
            self.loop.resume_node(suspension)
        for node in self.nodes.values():
            node.wake()

    async def new_target(self, name, rate=1):
        self.lives += 1
        target_id = f'target-{self.lives}'
        target = HeldTargetStandIn(
            target_id, self.capacity, self.ledger, clock_rate=rate, seed=self.lives
        )
        self.targets[name] = target
        self.dialer.targets[target_id] = target

    def start_agent(self, name):
        node = self._node(name)
        self.lives += 1
        agent = HeldAgent(
            f'{name}.{self.lives}', 'dc', self.dialer, self.events, self.loop.time
        )
        self.agents[name] = agent
        node.alive = True

        async def live():
            async with agent:
                while True:
                    agent.apply_report(self.targets[name].create_next_report())
                    await asyncio.sleep(0.5)

        node.run(live())

    def start_entry(self, name):
        node = self._node(name)
        self.lives += 1
        measures = EntryMetrics(Metrics(), 'dc')
        entry = HeldEntry(
            f'{name}.{self.lives}',
            'dc',
            self.events,
            measures,
            self.loop.time,
            seed=self.lives,
            connect=lambda address: self._connect(name, address.host),
        )
        self.entries[name] = entry
        node.alive = True

        async def live():
            async with entry:
                entry.apply_configuration(
                    VersionedText(1, OperatorsText((SERVICE,), ()))
                )
                agents = {Address(agent, 1) for agent in self.agent_names}
                entry.connections.set_agents(agents)
                await asyncio.Event().wait()

        node.run(live())

    async def submit(self, entry, job):
        """Hand a job in as a caller does; ``None`` when the connection breaks."""
        node = self.nodes[entry]
        life = node.suspension
        answered = self.loop.create_future()

        async def handle():
            answer = await self.entries[entry].submit(job)
            if not answered.done():
                answered.set_result(answer)

        handling = node.run(handle())
        deadline = self.loop.time() + job.timeout_s + 0.01
        try:
            while not answered.done() and self.loop.time() < deadline:
                await asyncio.sleep(0.01)
                if node.suspension is not life:
                    return None
        finally:
            if node.suspension is life:
                node.run(_cancel(handling))
        return answered.result() if answered.done() else None

    def _node(self, name):
        if name not in self.nodes:
            self.nodes[name] = Node(self, name)
        return self.nodes[name]

    async def _connect(self, here, there):
        node, far = self.nodes[here], self.nodes[there]
        if (here, there) in self.network.cuts:
            await asyncio.sleep(0.5)
            raise TimeoutError
        if not far.alive:
            raise ConnectionRefusedError
        near_end = MemoryStream(self.network, here, there)
        far_end = MemoryStream(self.network, there, here)
        near_end.peer, far_end.peer = far_end, near_end
        node.streams.append(near_end)
        far.streams.append(far_end)
        far.run(self.agents[there].entry_server.handle_stream(far_end, None))
        return near_end


async def _cancel(task):
    task.cancel()


def job(identifier, count=4, timeout_s=2.4, estimate_s=0.2, need=NEED):
    return HeldJob(
        identifier,
        'lookup',
        'payload',
        (Step(count, need, estimate_s),),
        timeout_s,
    )
