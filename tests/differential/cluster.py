"""Simulated cluster: real entries and agents on virtual time.

Sockets, signals, the table service and the targets are replaced in memory.
"""

import asyncio
import json

from differential.clock import Suspension
from differential.clock import node_context
from differential.connections import Connection
from differential.reference import execute
from differential.reference import fails
from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.config_store import ConfigStore
from endivetally_agent.counters import AgentCounters
from endivetally_agent.link_registry import LinkRegistry
from endivetally_agent.records import StartRecords
from endivetally_agent.session import EntrySession
from endivetally_agent.task_manager import TaskManager
from endivetally_agent.watchers import HeartbeatManager
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import Team
from endivetally_config.operator_config import encode_config
from endivetally_config.settings import EntrySettings
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable
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
SLOTS_PER_TARGET = 2
TABLE_WRITE_MS = 4
RECONNECT_INTERVAL_S = 0.3
HEARTBEAT_INTERVAL_S = 1


def config_with_deadline(deadline_ms):
    """Return the encoded configuration with a default deadline for all services."""
    services = tuple(
        Service(each.name, each.kind, pool=POOL, run_ms=50, deadline_ms=deadline_ms)
        for each in SERVICES
    )
    return encode_config(OperatorConfig(services, TEAMS))


class SharedTable(Table):
    """Access of one node to the table that all nodes share.

    :param is_reachable: returns whether the node reaches the table.
    """

    def __init__(self, table, is_reachable):
        self._table = table
        self._is_reachable = is_reachable

    async def read(self, key):
        self._check_reachable()
        return await self._table.read(key)

    async def scan(self, prefix, *, after='', limit=None):
        self._check_reachable()
        return await self._table.scan(prefix, after=after, limit=limit)

    async def commit(self, transaction):
        self._check_reachable()
        await self._table.commit(transaction)

    def close(self):
        """Do nothing, as other nodes still use the table."""

    def _check_reachable(self):
        if not self._is_reachable():
            raise TableUnavailable('no route to the table')


class _ConnectedListener:
    """Listener whose only peer is already connected."""

    def __init__(self, end):
        self._end = end

    async def accept(self):
        return self._end


class _InMemoryTransport(LinkTransport):
    """Uses ends of in-memory connections as links."""

    def open_link(self, socket, *, peer, data_centre):
        socket.version = lambda: self._active_config.version
        return socket


class _NoHttpServer:
    def stop(self):
        """Do nothing, as callers do not use HTTP."""


class SimulatedEntry(Entry):
    """Entry that uses in-memory connections and the shared table."""

    def __init__(self, name, incarnation, cluster):
        self._cluster = cluster
        self._incarnation = incarnation
        super().__init__(EntrySettings(name, 'dc-1', ADDRESS, ADDRESS, 'token'))

    def _listen(self):
        self.server = _NoHttpServer()
        return EntryIdentity(self.settings.name, self._incarnation, 'dc-1', ADDRESS)

    def _create_infrastructure(self):
        super()._create_infrastructure()
        self.table = SharedTable(
            self._cluster.table,
            lambda: self._incarnation not in self._cluster.cut_off_entries,
        )
        self.transport = _InMemoryTransport(self.active_config, self.shaper)

    def _create_request_components(self):
        super()._create_request_components()
        self.entry_links.connect = self._connect

    def _connect(self, identity):
        self._cluster.connect_entries(self.identity, identity)


class SimulatedLifecycle(Lifecycle):
    """Lifecycle that installs no signal handlers."""

    def _handle_signals(self):
        """Do nothing, as the handlers belong to the test process."""


class Node:
    """Simulated process that can be frozen, thawed and killed."""

    def __init__(self, name, cluster):
        self.name = name
        self.incarnation = f'{name}.{cluster.next_number()}'
        self.suspension = Suspension()
        self.context = node_context(self.suspension)
        self.dead = False
        self.was_frozen = False
        self.cluster = cluster
        cluster.nodes.append(self)

    def spawn(self, coroutine):
        loop = asyncio.get_running_loop()
        task = loop.create_task(coroutine, context=self.context.copy())
        task.add_done_callback(self.cluster.check_finished_task)
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
        for connection in self.cluster.connections:
            if self.incarnation in connection.names:
                connection.cut()


class EntryNode(Node):
    """Simulated process of an entry."""

    def __init__(self, name, cluster):
        super().__init__(name, cluster)
        self.daemon = None
        self.task = self.spawn(self._run())

    async def _run(self):
        self.daemon = SimulatedEntry(self.name, self.incarnation, self.cluster)
        self.lifecycle = SimulatedLifecycle(self.daemon)
        await self.lifecycle.run()
        self.kill()

    def serve(self, joining, end):
        if self.daemon is not None:
            loop = asyncio.get_running_loop()
            accepted = _ConnectedListener(end)
            context = self.context.copy()
            loop.call_soon(self.daemon.serve_link, joining, accepted, context=context)

    def submit(self, submission):
        self.spawn(self._handle_submission(submission))

    async def _handle_submission(self, submission):
        self.cluster.record_submission(submission)
        try:
            response = await self._send_request(submission)
        except RequestError as error:
            self._record_response(
                submission, error_response(error), error.execution_state.value
            )
        else:
            error = (
                json.loads(response.body).get('error') if response.error_kind else None
            )
            ran = error['ran'] if error else 'ran'
            self._record_response(submission, response, ran)

    def _record_response(self, submission, response, ran):
        if not self.dead:
            self.cluster.record_response(
                submission, response, ran, stale=self.was_frozen
            )

    async def _send_request(self, submission):
        daemon, spec = self.daemon, submission.spec
        await daemon.wait_until_open(2)
        if not daemon.opened.is_set() or daemon.active_config.version == 0:
            raise RequestError('not_ready', execution_state='unknown')
        service = daemon.active_config.config.find_service(spec.service)
        now = asyncio.get_running_loop().time()
        request = CallerRequest(
            spec.team,
            service,
            spec.key,
            () if submission.cancel else spec.tasks,
            now + service.deadline_ms / 1000,
        )
        if submission.cancel:
            return await daemon.request_router.cancel_request(request)
        return await daemon.request_router.handle_request(request)


class ScriptedRunner:
    """Target that runs and fails as each payload says, and records the starts."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._cancelled = {}

    async def run_task(self, dispatch):
        self._cluster.record_start(dispatch)
        script = json.loads(dispatch.payload)
        cancelled = self._cancelled.setdefault(dispatch.attempt_id, asyncio.Event())
        try:
            await asyncio.wait_for(cancelled.wait(), script['ms'] / 1000)
        except TimeoutError:
            if fails(dispatch.payload):
                return Outcome(dispatch.attempt_id, 'failed', 'status_500')
            return Outcome(dispatch.attempt_id, 'done', body=execute(dispatch.payload))
        return Outcome(dispatch.attempt_id, 'cancelled', 'cancelled')

    async def cancel_task(self, name):
        self._cancelled.setdefault(name, asyncio.Event()).set()


class AgentNode(Node):
    """Simulated process of an agent, together with its target."""

    def __init__(self, name, cluster):
        super().__init__(name, cluster)
        self.leaving = False
        clock = asyncio.get_running_loop().time
        self.admission = DispatchAdmission(StartRecords(900, 8, clock), clock)
        self.links = LinkRegistry()
        self.tasks = TaskManager(
            self.admission, ScriptedRunner(cluster), self.links, AgentCounters()
        )
        self.heartbeats = HeartbeatManager(name, self.links, self.tasks, clock)
        self.config_store = ConfigStore(clock)
        self.identity = AgentIdentity(
            name, self.incarnation, 'dc-1', 'rack-1', POOL, SLOTS_PER_TARGET, 64, 32_768
        )
        self.announce()
        self.spawn(self._send_heartbeats())

    def announce(self):
        self.admission.apply_announcement(
            Announcement(POOL, 1, SLOTS_PER_TARGET, 64, 32_768, leaving=self.leaving)
        )
        self.tasks.refresh_state()

    def keep_connected(self, entry):
        self.spawn(self._reconnect(entry))

    async def _send_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.announce()
            self.heartbeats.send_heartbeats()
            self.tasks.send_credit_changes(
                self.tasks.allocator.expire_overdue_revocations()
            )

    async def _reconnect(self, entry):
        while not entry.dead:
            if entry.daemon is not None and not entry.suspension.stopped:
                await self._serve(entry)
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    async def _serve(self, entry):
        for fenced_entry in entry.daemon.list_fenced_entries():
            self.tasks.fence_owner(fenced_entry)
        connection = self.cluster.open_connection(self.incarnation, entry.incarnation)
        connection.left.version = lambda: self.config_store.version
        entry.serve(JoinRequest(agent=self.identity), connection.right)
        session = EntrySession(
            entry.incarnation,
            connection.left,
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
            connection.left.close()


class SimulatedCluster:
    """All nodes, their connections and the table; reports events to a checker."""

    def __init__(self, checker):
        self.table = MemoryTable(write_ms=TABLE_WRITE_MS, read_ms=1)
        self.connections = []
        self.entries = {}
        self.agents = {}
        self.cut_off_entries = set()
        self._checker = checker
        self._number = 0
        self._entry_nodes = []
        self._nodes = []

    def next_number(self):
        self._number += 1
        return self._number

    def start_entry(self, name):
        entry = EntryNode(name, self)
        self.entries[name] = entry
        self._entry_nodes.append(entry)
        for agent in self.agents.values():
            agent.keep_connected(entry)

    def start_agent(self, name):
        agent = AgentNode(name, self)
        self.agents[name] = agent
        for entry in self._entry_nodes:
            agent.keep_connected(entry)

    def open_connection(self, left, right):
        self.connections = [
            connection for connection in self.connections if not connection.is_cut
        ]
        connection = Connection(left, right)
        self.connections.append(connection)
        return connection

    def connect_entries(self, left, right):
        pair = {left.incarnation, right.incarnation}
        if len(pair) == 1 or any(
            set(connection.names) == pair
            for connection in self._find_open_connections()
        ):
            return
        nodes = {
            entry.incarnation: entry for entry in self._entry_nodes if not entry.dead
        }
        if not pair <= set(nodes) or pair & self.cut_off_entries:
            return
        connection = self.open_connection(left.incarnation, right.incarnation)
        nodes[left.incarnation].serve(JoinRequest(entry=right), connection.left)
        nodes[right.incarnation].serve(JoinRequest(entry=left), connection.right)

    def cut_off_entry(self, entry, still_linked=()):
        """Cut an entry off from the table and from other entries, not from agents.

        Links to other entries stay open and silent, as in a network partition.

        :param still_linked: entries from which it is not cut off.
        """
        self.cut_off_entries.add(entry.incarnation)
        linked = {node.incarnation for node in (entry, *still_linked)}
        others = {node.incarnation for node in self._entry_nodes} - linked
        for connection in self.open_connections:
            if entry.incarnation in connection.names and others & set(connection.names):
                connection.hold()

    def check_finished_task(self, task):
        if not task.cancelled() and task.exception() is not None:
            self._checker.record_crash(task.exception())

    def record_submission(self, submission):
        self._checker.record_submission(submission)

    def record_response(self, submission, response, ran, *, stale):
        self._checker.record_response(submission, response, ran, stale=stale)

    def record_start(self, dispatch):
        self._checker.record_start(dispatch)

    @property
    def nodes(self):
        return self._nodes

    @property
    def open_connections(self):
        return self._find_open_connections()

    def heal(self):
        """End all faults; killed nodes stay dead."""
        self.table.faults = type(self.table.faults)()
        for node in (*self._entry_nodes, *self.agents.values()):
            node.thaw()
        for connection in self.connections:
            connection.release()
            connection.latency_s = 0.001

    def shut_down(self):
        """Resume all frozen nodes so that their tasks can be cancelled."""
        for node in self._nodes:
            asyncio.get_running_loop().resume_node(node.suspension)

    def _find_open_connections(self):
        return [connection for connection in self.connections if not connection.is_cut]
