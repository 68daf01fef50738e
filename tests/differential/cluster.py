"""Entries, agents and targets on virtual time; only transports are replaced."""

import asyncio
import json

from differential.clock import Suspension
from differential.clock import node_context
from differential.connections import Wire
from differential.reference import fails
from differential.reference import perform
from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.config_store import ConfigStore
from endivetally_agent.counters import AgentCounters
from endivetally_agent.records import StartRecords
from endivetally_agent.registry import LinkRegistry
from endivetally_agent.session import EntrySession
from endivetally_agent.tasks import TaskManager
from endivetally_agent.watchers import HeartbeatManager
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import Team
from endivetally_config.operator_config import encode_config
from endivetally_config.settings import EntrySettings
from endivetally_core.errors import RequestError
from endivetally_core.joining import Address
from endivetally_core.joining import AgentIdentity
from endivetally_core.joining import Announcement
from endivetally_core.joining import EntryIdentity
from endivetally_core.joining import JoinRequest
from endivetally_core.links import LinkCounters
from endivetally_core.messages import Outcome
from endivetally_entry import Entry
from endivetally_entry import Lifecycle
from endivetally_entry.exchange import LinkTransport
from endivetally_entry.requests import CallerRequest
from endivetally_entry.requests import error_response
from endivetally_table.memory import MemoryTable
from endivetally_table.table import Table

ADDRESS = Address('127.0.0.1', 0)
POOL = 'search'
SERVICES = (
    Service('lookups', 'idempotent', pool=POOL, run_ms=50),
    Service('fetches', 'non-idempotent', pool=POOL, run_ms=50),
    Service('sweeps', 'job', pool=POOL, run_ms=50),
)
TEAMS = (Team('clerks', 'a', 100_000), Team('students', 'b', 100_000))
SLOTS = 2
WRITE_MS = 4
REDIAL_S = 0.3
BEAT_S = 1


def text(deadline_ms):
    """Return the operators' text with a default deadline."""
    services = tuple(
        Service(each.name, each.kind, pool=POOL, run_ms=50, deadline_ms=deadline_ms)
        for each in SERVICES
    )
    return encode_config(OperatorConfig(services, TEAMS))


class SharedTable(Table):
    """One node's access to the table, which outlives the node."""

    def __init__(self, table):
        self._table = table

    async def read(self, key):
        return await self._table.read(key)

    async def scan(self, prefix, *, after='', limit=None):
        return await self._table.scan(prefix, after=after, limit=limit)

    async def commit(self, transaction):
        await self._table.commit(transaction)

    def close(self):
        """Do nothing; the other nodes go on."""


class _Accepted:
    """A listener whose peer is there already."""

    def __init__(self, end):
        self._end = end

    async def accept(self):
        return self._end


class _WireExchange(LinkTransport):
    """Takes wires in place of sockets."""

    def open_link(self, socket, *, peer, data_centre):
        socket.version = lambda: self._active_config.version
        return socket


class _NoServer:
    def stop(self):
        """Do nothing; callers come without HTTP."""


class WiredEntry(Entry):
    """An entry with wires in place of sockets and the shared table."""

    def __init__(self, name, incarnation, world):
        self._world = world
        self._incarnation = incarnation
        super().__init__(EntrySettings(name, 'dc-1', ADDRESS, ADDRESS, 'token'))

    def _listen(self):
        self.server = _NoServer()
        return EntryIdentity(self.settings.name, self._incarnation, 'dc-1', ADDRESS)

    def _create_infrastructure(self):
        super()._create_infrastructure()
        self.table = SharedTable(self._world.table)
        self.transport = _WireExchange(self.active_config, self.shaper)

    def _create_request_parts(self):
        super()._create_request_parts()
        self.entry_links.connect = self._connect

    def _connect(self, identity):
        self._world.link_entries(self.identity, identity)


class WiredLifecycle(Lifecycle):
    """A lifecycle that takes no signals."""

    def _handle_signals(self):
        """Leave the test's handlers alone."""


class Node:
    """A process: it can be frozen, go on, and end."""

    def __init__(self, name, world):
        self.name = name
        self.incarnation = f'{name}.{world.next_number()}'
        self.suspension = Suspension()
        self.context = node_context(self.suspension)
        self.dead = False
        self.was_frozen = False
        self.world = world
        world.nodes.append(self)

    def spawn(self, coroutine):
        loop = asyncio.get_running_loop()
        task = loop.create_task(coroutine, context=self.context.copy())
        task.add_done_callback(self.world.task_ended)
        return task

    def freeze(self):
        self.was_frozen = True
        asyncio.get_running_loop().stop_node(self.suspension)

    def thaw(self):
        if not self.dead:
            asyncio.get_running_loop().resume_node(self.suspension)

    def kill(self):
        self.dead = True
        self.freeze()
        for wire in self.world.wires:
            if self.incarnation in wire.names:
                wire.cut()


class EntryNode(Node):
    """A running entry."""

    def __init__(self, name, world):
        super().__init__(name, world)
        self.daemon = None
        self.task = self.spawn(self._run())

    async def _run(self):
        self.daemon = WiredEntry(self.name, self.incarnation, self.world)
        self.lifecycle = WiredLifecycle(self.daemon)
        await self.lifecycle.run()
        self.kill()

    def serve(self, joining, end):
        if self.daemon is not None:
            loop = asyncio.get_running_loop()
            accepted = _Accepted(end)
            context = self.context.copy()
            loop.call_soon(self.daemon.serve_link, joining, accepted, context=context)

    def submit(self, submission):
        self.spawn(self._answer(submission))

    async def _answer(self, submission):
        self.world.submitted(submission)
        try:
            answer = await self._ask(submission)
        except RequestError as error:
            self._judge(submission, error_response(error), error.ran.value)
        else:
            error = json.loads(answer.body).get('error') if answer.error_kind else None
            ran = error['ran'] if error else 'ran'
            self._judge(submission, answer, ran)

    def _judge(self, submission, answer, ran):
        if not self.dead:
            self.world.answered(submission, answer, ran, stale=self.was_frozen)

    async def _ask(self, submission):
        daemon, work = self.daemon, submission.work
        await daemon.wait_until_open(2)
        if not daemon.opened.is_set() or daemon.active_config.version == 0:
            raise RequestError('not_ready', ran='unknown')
        service = daemon.active_config.config.find_service(work.service)
        now = asyncio.get_running_loop().time()
        request = CallerRequest(
            work.team,
            service,
            work.key,
            () if submission.cancel else work.tasks,
            now + service.deadline_ms / 1000,
        )
        if submission.cancel:
            return await daemon.request_router.cancel_request(request)
        return await daemon.request_router.handle_request(request)


class ScriptedRunner:
    """A target that does what each payload says, and records its starts."""

    def __init__(self, world):
        self._world = world
        self._cancelled = {}

    async def run(self, dispatch):
        self._world.started(dispatch)
        script = json.loads(dispatch.payload)
        cancelled = self._cancelled.setdefault(dispatch.attempt_id, asyncio.Event())
        try:
            await asyncio.wait_for(cancelled.wait(), script['ms'] / 1000)
        except TimeoutError:
            if fails(dispatch.payload):
                return Outcome(dispatch.attempt_id, 'failed', 'status_500')
            return Outcome(dispatch.attempt_id, 'done', body=perform(dispatch.payload))
        return Outcome(dispatch.attempt_id, 'cancelled', 'cancelled')

    async def cancel(self, name):
        self._cancelled.setdefault(name, asyncio.Event()).set()


class AgentNode(Node):
    """A running agent with its target."""

    def __init__(self, name, world):
        super().__init__(name, world)
        self.leaving = False
        clock = asyncio.get_running_loop().time
        self.admission = DispatchAdmission(StartRecords(900, 8, clock), clock)
        self.links = LinkRegistry()
        self.tasks = TaskManager(
            self.admission, ScriptedRunner(world), self.links, AgentCounters()
        )
        self.heartbeats = HeartbeatManager(name, self.links, self.tasks, clock)
        self.config_store = ConfigStore(clock)
        self.identity = AgentIdentity(
            name, self.incarnation, 'dc-1', 'rack-1', POOL, SLOTS, 64, 32_768
        )
        self.announce()
        self.spawn(self._beat())

    def announce(self):
        self.admission.apply_announcement(
            Announcement(POOL, 1, SLOTS, 64, 32_768, leaving=self.leaving)
        )
        self.tasks.refresh()

    def keep_linked(self, entry):
        self.spawn(self._keep(entry))

    async def _beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            self.announce()
            self.heartbeats.send_heartbeats()
            self.tasks.send_credit_changes(self.tasks.allocator.expire_overdue())

    async def _keep(self, entry):
        while not entry.dead:
            if entry.daemon is not None and not entry.suspension.stopped:
                await self._serve(entry)
            await asyncio.sleep(REDIAL_S)

    async def _serve(self, entry):
        for fenced in entry.daemon.fenced_entries():
            self.tasks.fence(fenced)
        wire = self.world.new_wire(self.incarnation, entry.incarnation)
        wire.left.version = lambda: self.config_store.version
        entry.serve(JoinRequest(agent=self.identity), wire.right)
        session = EntrySession(
            entry.incarnation,
            wire.left,
            admission=self.admission,
            tasks=self.tasks,
            links=self.links,
            config_store=self.config_store,
            counters=LinkCounters(),
            heartbeats=self.heartbeats,
            add_address=lambda _address: None,
        )
        try:
            await session.serve()
        finally:
            wire.left.close()


class World:
    """All nodes, the table, and what callers and targets saw."""

    def __init__(self, judge):
        self.table = MemoryTable(write_ms=WRITE_MS, read_ms=1)
        self.wires = []
        self.entries = {}
        self.agents = {}
        self._judge = judge
        self._number = 0
        self._live = []
        self._nodes = []

    def next_number(self):
        self._number += 1
        return self._number

    def start_entry(self, name):
        entry = EntryNode(name, self)
        self.entries[name] = entry
        self._live.append(entry)
        for agent in self.agents.values():
            agent.keep_linked(entry)

    def start_agent(self, name):
        agent = AgentNode(name, self)
        self.agents[name] = agent
        for entry in self._live:
            agent.keep_linked(entry)

    def new_wire(self, left, right):
        self.wires = [wire for wire in self.wires if not wire.ended]
        wire = Wire(left, right)
        self.wires.append(wire)
        return wire

    def link_entries(self, left, right):
        pair = {left.incarnation, right.incarnation}
        if len(pair) == 1 or any(set(wire.names) == pair for wire in self._open()):
            return
        nodes = {entry.incarnation: entry for entry in self._live if not entry.dead}
        if not pair <= set(nodes):
            return
        wire = self.new_wire(left.incarnation, right.incarnation)
        nodes[left.incarnation].serve(JoinRequest(entry=right), wire.left)
        nodes[right.incarnation].serve(JoinRequest(entry=left), wire.right)

    def task_ended(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._judge.crashed(task.exception())

    def submitted(self, submission):
        self._judge.submitted(submission)

    def answered(self, submission, answer, ran, *, stale):
        self._judge.answered(submission, answer, ran, stale=stale)

    def started(self, dispatch):
        self._judge.started(dispatch)

    @property
    def nodes(self):
        return self._nodes

    @property
    def open_wires(self):
        return self._open()

    def heal(self):
        """End every fault but deaths."""
        self.table.faults = type(self.table.faults)()
        for node in (*self._live, *self.agents.values()):
            node.thaw()
        for wire in self.wires:
            wire.release()
            wire.latency_s = 0.001

    def end(self):
        """Let stopped nodes go on so that all tasks can be cancelled."""
        for node in self._nodes:
            asyncio.get_running_loop().resume_node(node.suspension)

    def _open(self):
        return [wire for wire in self.wires if not wire.ended]
