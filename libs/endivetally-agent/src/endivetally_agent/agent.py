"""The agent daemon: creates the components, runs the periodic work and drains."""

import asyncio
import logging
import signal
from contextlib import AsyncExitStack
from contextlib import closing
from contextlib import suppress
from pathlib import Path
from typing import Final
from typing import Self

from endivetally_config.settings import AgentSettings
from endivetally_core.errors import LinkClosed
from endivetally_core.identifiers import new_incarnation
from endivetally_core.joining import AgentIdentity
from endivetally_core.joining import Announcement
from endivetally_core.joining import EntryIdentity
from endivetally_core.links import LinkCounters
from endivetally_core.links import NngLink
from endivetally_core.links import dial
from endivetally_core.metrics import Exposition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import render_metrics
from endivetally_core.shaping import RuleShaper
from endivetally_http import BoundedServer
from endivetally_http import ClientUsage
from endivetally_http import LibraryRefusalLog
from endivetally_policy.clients import ProcessLimits
from endivetally_table.http import HttpTable
from endivetally_table.table import Table
from tornado.netutil import bind_sockets

from endivetally_agent.admission import AdmissionState
from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.config_store import ConfigStore
from endivetally_agent.counters import AgentCounters
from endivetally_agent.link_registry import LinkRegistry
from endivetally_agent.metrics import add_config_version
from endivetally_agent.metrics import add_counters
from endivetally_agent.metrics import add_gauges
from endivetally_agent.peers import EntryConnector
from endivetally_agent.peers import EntryDiscovery
from endivetally_agent.records import StartRecords
from endivetally_agent.server import AgentFacade
from endivetally_agent.server import make_application
from endivetally_agent.session import EntrySession
from endivetally_agent.target_client import TargetClient
from endivetally_agent.task_manager import TaskManager
from endivetally_agent.watchers import HeartbeatManager

logger: Final = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S: Final = 1
LEASE_CHECK_INTERVAL_S: Final = 0.1
TRIM_INTERVAL_S: Final = 5
# Delay between the flush of the links and the exit.
EXIT_DELAY_S: Final = 0.2
DRAIN_POLL_INTERVAL_S: Final = 0.05


class Agent(AgentFacade, EntryConnector):
    """The agent of one target.

    :param table: lists the entries; without it, only the seeds are used.
    """

    def __init__(self, settings: AgentSettings, table: Table | None = None) -> None:
        self.incarnation = new_incarnation(settings.name)
        self.port = 0
        self._settings = settings
        self._stack = AsyncExitStack()
        self._counters = AgentCounters()
        self._link_counters = LinkCounters()
        self._shaper = RuleShaper() if settings.allow_shaping else None
        self._config_store = ConfigStore()
        self._links = LinkRegistry()
        self._records = StartRecords(
            settings.result_retention_s, settings.result_memory_mb
        )
        self._admission = DispatchAdmission(self._records)
        self._target = TargetClient()
        self._tasks = TaskManager(
            self._admission, self._target, self._links, self._counters
        )
        self._heartbeats = HeartbeatManager(settings.name, self._links, self._tasks)
        self._metrics = Metrics()
        self._metrics.add_link_counters(self._link_counters)
        add_counters(self._metrics, self._counters)
        add_gauges(self._metrics, self._admission, self._records, self._tasks)
        add_config_version(self._metrics, self._config_store)
        self._discovery = EntryDiscovery(settings, self, table, self._counters)

    async def __aenter__(self) -> Self:
        """Start the HTTP server, the search for entries and the periodic work."""
        async with AsyncExitStack() as stack:
            stack.callback(self._target.close)
            stack.push_async_callback(self._discovery.close)
            stack.callback(self._links.close_all)
            await self._listen(stack)
            for loop in (
                self._discovery.run,
                self._watch_lease,
                self._send_heartbeats,
                self._trim_records,
            ):
                self._start_loop(stack, asyncio.ensure_future(loop()))
            self._stack = stack.pop_all()
        return self

    async def __aexit__(self, *_exception: object) -> None:
        """Stop all loops and close the links, connections and the server."""
        await self._stack.aclose()

    def identity(self) -> AgentIdentity | None:
        """Return the agent's identity, or ``None`` before the first announcement."""
        announcement = self._admission.announcement
        if announcement is None:
            return None
        return AgentIdentity(
            name=self._settings.name,
            incarnation=self.incarnation,
            data_centre=self._settings.data_centre,
            rack=self._settings.rack,
            service=announcement.service,
            slots=min(announcement.slots, announcement.connections),
            connections=announcement.connections,
            memory_mb=announcement.memory_mb,
        )

    def is_linked(self, entry: str) -> bool:
        """Whether a link to this incarnation of an entry is open."""
        return entry in self._links

    def fence_entry(self, entry: str) -> None:
        """Refuse further dispatches of an entry's incarnation."""
        if not self._admission.is_fenced(entry):
            self._tasks.fence_owner(entry)

    async def serve_link(self, entry: EntryIdentity, address: str) -> None:
        """Connect to an entry and handle its messages until the link closes.

        :raises LinkClosed: when nothing listens at the address, or when the same
            entry was meanwhile connected through another address.
        """
        socket = await dial(address)
        if self.is_linked(entry.incarnation):
            socket.close()
            raise LinkClosed(address)
        link = NngLink(
            socket,
            peer=entry.name,
            data_centre=entry.data_centre,
            get_version=lambda: self._config_store.version,
            counters=self._link_counters,
            shaper=self._shaper,
        )
        with closing(link):
            await self._serve_session(entry, link)

    def apply_announcement(self, announcement: Announcement) -> None:
        """Apply an announcement of the target.

        If it changes the agent's identity, all links are closed, so that the agent
        joins every entry again with the new identity.
        """
        previous_identity = self.identity()
        self._tasks.refresh_state()
        self._admission.apply_announcement(announcement)
        self._target.configure(announcement)
        self._tasks.usage.observe_memory(
            announcement.used_memory_mb, self._admission.running
        )
        self._tasks.refresh_state()
        if previous_identity is not None and previous_identity != self.identity():
            logger.info(
                'target announced a new identity',
                extra={'service': announcement.service},
            )
            self._links.close_all()

    def unready_reason(self) -> str:
        """Return why the agent can't accept work, or ''."""
        state = self._admission.state
        if state is not AdmissionState.OPEN:
            return state.value
        return '' if self._links.entries else 'no_entry'

    def metrics(self) -> Exposition:
        """Return the current metrics."""
        return render_metrics(self._metrics)

    async def drain(self) -> None:
        """Refuse new work, finish running tasks and deliver their outcomes.

        Waits at most ``drain_timeout_s`` for entries to acknowledge the outcomes.
        """
        logger.info('agent draining')
        self._admission.drain()
        self._tasks.refresh_state()
        await self._tasks.wait_for_tasks()
        with suppress(TimeoutError):
            await asyncio.wait_for(
                self._wait_for_acknowledgements(), self._settings.drain_timeout_s
            )
        await self._links.flush()
        await asyncio.sleep(EXIT_DELAY_S)
        logger.info('agent drained')

    async def _serve_session(self, entry: EntryIdentity, link: NngLink) -> None:
        session = EntrySession(
            entry.incarnation,
            link,
            admission=self._admission,
            tasks=self._tasks,
            links=self._links,
            config_store=self._config_store,
            counters=self._link_counters,
            heartbeats=self._heartbeats,
            add_address=self._discovery.add_address_with_jitter,
        )
        await session.serve()

    async def _listen(self, stack: AsyncExitStack) -> None:
        listen = self._settings.listen
        sockets = bind_sockets(listen.port, listen.host)
        limits = ProcessLimits()
        server = BoundedServer(
            make_application(self, self._shaper),
            'target',
            limits.side_server,
            ClientUsage(limits, LibraryRefusalLog()),
        )
        server.add_sockets(sockets)
        stack.push_async_callback(server.close_all_connections)
        stack.callback(server.stop)
        self.port = sockets[0].getsockname()[1]
        if self._settings.ready_file:
            _write_atomically(self._settings.ready_file, f'{listen.host}:{self.port}')

    def _start_loop(self, stack: AsyncExitStack, loop: 'asyncio.Future[None]') -> None:
        stack.push_async_callback(_cancel_loop, loop)

    async def _watch_lease(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self._tasks.refresh_state()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self._heartbeats.send_heartbeats()
            self._tasks.send_credit_changes(
                self._tasks.allocator.expire_overdue_revocations()
            )

    async def _trim_records(self) -> None:
        while True:
            await asyncio.sleep(TRIM_INTERVAL_S)
            self._records.trim()

    async def _wait_for_acknowledgements(self) -> None:
        while self._admission.has_unsettled():
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


async def run_agent(settings: AgentSettings, table: Table | None = None) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain it.

    :param table: replaces the table service that the settings name.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    with closing(table or HttpTable(settings.table)) as entry_table:
        async with Agent(settings, entry_table) as agent:
            await stopped.wait()
            await agent.drain()


async def _cancel_loop(loop: 'asyncio.Future[None]') -> None:
    loop.cancel()
    with suppress(asyncio.CancelledError):
        await loop


def _write_atomically(path: str, text: str) -> None:
    temporary = Path(f'{path}.tmp')
    temporary.write_text(text)
    temporary.replace(path)
