"""The entry daemon as one object that creates and connects its components."""

import asyncio
import itertools
import logging
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from contextlib import suppress
from typing import Any

import msgspec
from endivetally_config.api import ConfigHistory
from endivetally_config.manager import ConfigManager
from endivetally_config.operator_config import Team
from endivetally_config.operator_config import VersionedConfig
from endivetally_config.settings import EntrySettings
from endivetally_core.burn import BurnSnapshot
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable
from endivetally_core.identifiers import new_incarnation
from endivetally_core.joining import Address
from endivetally_core.joining import EntryIdentity
from endivetally_core.joining import JoinRequest
from endivetally_core.links import LinkListener
from endivetally_core.messages import EntryState
from endivetally_core.shaping import RuleShaper
from endivetally_core.status import EntryStatus
from endivetally_core.status import ServiceStatus
from endivetally_core.status import TargetStatus
from endivetally_policy.admission import AdmissionController
from endivetally_policy.estimates import RunTimeEstimates
from endivetally_policy.quotas import TeamQuotas
from endivetally_policy.retries import RetryPolicy
from endivetally_policy.scheduling import AgentView
from endivetally_policy.scheduling import CreditScheduler
from endivetally_policy.scheduling import NaiveScheduler
from endivetally_policy.scheduling import Scheduler
from endivetally_table.directory import ShardDirectory
from endivetally_table.entries import EntryRegistry
from endivetally_table.http import HttpTable
from endivetally_table.journal import Journal
from tornado.netutil import bind_sockets

from endivetally_entry.acknowledgements import AcknowledgementBatcher
from endivetally_entry.agent_links import AgentLinks
from endivetally_entry.agent_registry import AgentRegistry
from endivetally_entry.dispatcher import Dispatcher
from endivetally_entry.entry_links import EntryLinks
from endivetally_entry.exchange import LinkTransport
from endivetally_entry.forwarding import RequestForwarder
from endivetally_entry.idempotency import IdempotencyCache
from endivetally_entry.keyed import KeyedRequestRunner
from endivetally_entry.liveness import LivenessMonitor
from endivetally_entry.metrics import EntryMetrics
from endivetally_entry.ownership import ShardOwnership
from endivetally_entry.peering import PeerProtocol
from endivetally_entry.recovery import RequestRecovery
from endivetally_entry.request_router import RequestRouter
from endivetally_entry.server import create_server

_log = logging.getLogger(__name__)

BYTES_PER_MB = 1024 * 1024


class Entry:
    """An entry with all its components, which a `Lifecycle` starts and drains.

    The constructor opens the listening socket and needs a running event loop.

    :param settings: validated settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.state = 'starting'
        self.registered = asyncio.Event()
        self.opened = asyncio.Event()
        self.exit_stack = AsyncExitStack()
        self.shaper = RuleShaper()
        self._fenced_incarnations: list[str] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.identity = self._listen()
        self._create_infrastructure()
        self._create_policies()
        self._create_agent_components()
        self._create_request_components()
        self._create_metrics()

    @property
    def in_progress_count(self) -> int:
        """Number of task attempts and keyed requests that have not ended."""
        return (
            self.dispatcher.in_progress_count + self.idempotency_cache.in_progress_count
        )

    @property
    def open_requests(self) -> int:
        """Number of open HTTP requests, task attempts and keyed requests."""
        return self.metrics.open_requests + self.in_progress_count

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a background task, which is cancelled when the entry stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel_tasks(self) -> None:
        """Cancel all background tasks."""
        for task in list(self._tasks):
            task.cancel()

    def find_team(self, token: str) -> Team | None:
        """Return the team that a bearer token belongs to."""
        return self._teams.get(token)

    def serve_link(self, joining: JoinRequest, listener: LinkListener) -> None:
        """Serve the link of an agent or entry that has asked to join."""
        if joining.agent is not None:
            self.spawn(self.agent_links.serve_link(joining.agent, listener))
        elif joining.entry is not None:
            self.spawn(self.entry_links.serve_link(joining.entry, listener))

    def list_connected_entries(self) -> list[EntryIdentity]:
        """Return this entry and the entries that it has a link to."""
        return self.entry_links.connected_identities

    def list_fenced_entries(self) -> list[str]:
        """Return the entries that were taken over, as of the last table read.

        Entries that left in a planned stop are not included, as they still finish
        their requests.
        """
        return list(self._fenced_incarnations)

    async def read_live_entries(self) -> list[EntryIdentity]:
        """Read the live entries, and update the list of fenced ones.

        :raises TableUnavailable: when the table service is unavailable.
        """
        rows = await self.entry_registry.list_rows()
        self._fenced_incarnations = [
            row.identity.incarnation for row in rows if row.state == 'fenced'
        ]
        return [row.identity for row in rows if row.state == 'live']

    def find_served_pools(self) -> frozenset[str]:
        """Return the pools in which this entry can use an open target."""
        pools = self.active_config.config.pools
        return frozenset(filter(self.scheduler.capacity, pools))

    async def wait_until_open(self, timeout_s: float) -> None:
        """Wait until the entry is open, at most for the timeout."""
        if self.opened.is_set():
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(self.opened.wait(), timeout_s)

    def unready_reason(self) -> str:
        """Return why the entry is not ready, or an empty string if it is."""
        if self.state != 'open':
            return self.state
        if self.active_config.version == 0:
            return 'no text in force'
        return ''

    async def submit_config(self, encoded: bytes, based_on: int, submitter: str) -> int:
        """Validate a configuration, store it and distribute it.

        :param encoded: the configuration as JSON.
        :param based_on: version that the change is based on.
        :param submitter: who made the change, for the history.
        :returns: the new version.
        :raises RequestError: when it is invalid, or another change came first.
        """
        return await self.active_config.submit(self.table, encoded, based_on, submitter)

    async def read_config_history(self) -> bytes:
        """Return the changes of the configuration as JSON.

        :raises RequestError: when the table service is unavailable.
        """
        try:
            changes = await self.active_config.read_history(self.table)
        except TableUnavailable as error:
            raise RequestError(ErrorKind.PLATFORM_UNAVAILABLE) from error
        return msgspec.json.encode(ConfigHistory(changes))

    def build_status(self) -> EntryStatus:
        """Return the state of this entry, its peers, services and targets."""
        shard_map = self.shard_directory.shard_map
        return EntryStatus(
            name=self.identity.name,
            incarnation=self.identity.incarnation,
            data_centre=self.identity.data_centre,
            state=self.unready_reason() or self.state,
            version=self.active_config.version,
            platform=self.journal.available,
            shards=len(shard_map.shards_of(self.identity.incarnation)),
            entries=[str(entry.address) for entry in self.list_connected_entries()],
            services=self._build_service_statuses(),
            targets=self._build_target_statuses(),
        )

    def snapshot_burn(self) -> BurnSnapshot:
        """Return the counts for the error-budget report."""
        return self.metrics.burn.snapshot(
            self.identity.name, self.active_config.version
        )

    def _listen(self) -> EntryIdentity:
        address = self.settings.listen
        sockets = bind_sockets(address.port, address.host)
        self.server = create_server(self)
        self.server.add_sockets(sockets)
        return EntryIdentity(
            self.settings.name,
            new_incarnation(self.settings.name),
            self.settings.data_centre,
            Address(address.host, sockets[0].getsockname()[1]),
        )

    def _create_infrastructure(self) -> None:
        self._teams: dict[str, Team] = {}
        self.active_config = ConfigManager()
        self.active_config.add_change_callback(self._apply_config)
        self.transport = LinkTransport(self.active_config, self.shaper)
        self.table = HttpTable(self.settings.table)
        self.exit_stack.callback(self.table.close)

    def _create_policies(self) -> None:
        self.estimates = RunTimeEstimates()
        self.quotas = TeamQuotas()
        self.scheduler = self._make_scheduler()
        self.retries = RetryPolicy()
        self.admission = AdmissionController(
            self.scheduler, self.estimates, self.quotas
        )

    def _make_scheduler(self) -> Scheduler:
        if self.settings.scheduler == 'naive':
            return NaiveScheduler()
        return CreditScheduler(self.settings.data_centre, self.estimates)

    def _create_agent_components(self) -> None:
        self.agent_registry = AgentRegistry()
        self.dispatcher = Dispatcher(self.scheduler, self.agent_registry)
        self.acknowledgements = AcknowledgementBatcher(
            self.identity.incarnation,
            self.agent_registry,
        )
        self.entry_registry = EntryRegistry(self.table)
        self.recovery = RequestRecovery(
            self.table,
            self.entry_registry,
            self.agent_registry,
            self.settings.key_retention_s,
        )
        self.journal = Journal(self.table, self.identity)
        self.exit_stack.callback(self.journal.close)
        self.agent_links = AgentLinks(
            self.agent_registry,
            self.transport,
            self.scheduler,
            self.dispatcher,
            self.journal,
            self.recovery,
            self.acknowledgements,
            lambda: EntryState(self.state),
            self.registered,
        )

    def _create_request_components(self) -> None:
        sequences = itertools.count(1)
        self.shard_directory = ShardDirectory(
            self.table,
            retention_s=self.settings.key_retention_s,
        )
        self.ownership = ShardOwnership(
            self.identity,
            self.shard_directory,
            self.recovery,
            self.journal,
        )
        self.idempotency_cache = IdempotencyCache(
            self.settings.key_retention_s,
            self.settings.key_memory_mb * BYTES_PER_MB,
        )
        self.peer_protocol = PeerProtocol(self)
        self.entry_links = EntryLinks(
            self.identity,
            self.transport,
            self.peer_protocol.handle_message,
        )
        self.exit_stack.callback(self.entry_links.close)
        self.liveness = LivenessMonitor(
            asyncio.get_running_loop().time, self.entry_links.is_cut_off
        )
        self.forwarder = RequestForwarder(self.entry_links.find_link)
        self.entry_links.set_forwarder(self.forwarder)
        self.keyed_requests = KeyedRequestRunner(
            self.identity.incarnation,
            self.ownership,
            self.idempotency_cache,
            self.journal,
            self.recovery,
            self.admission,
            self.dispatcher,
            self.retries,
            self.acknowledgements,
            self.liveness,
            sequences,
        )
        self.request_router = RequestRouter(
            self.identity.incarnation,
            self.ownership,
            self.forwarder,
            self.keyed_requests,
            self.idempotency_cache,
            self.recovery,
            self.admission,
            self.dispatcher,
            self.retries,
            sequences,
        )

    def _create_metrics(self) -> None:
        self.metrics = EntryMetrics(self.transport.counters)
        self.metrics.add_gauge(
            'endivetally_in_progress',
            'Requests and bindings without an end.',
            lambda: self.in_progress_count,
        )
        self.metrics.add_gauge(
            'endivetally_remembered_keys',
            'Keys of which this entry remembers the request.',
            lambda: self.idempotency_cache.record_count,
        )
        self.metrics.add_gauge(
            'endivetally_remembered_bytes',
            'Bytes of remembered answers.',
            lambda: self.idempotency_cache.body_bytes,
        )
        self.metrics.add_gauge(
            'endivetally_text_version',
            "Version of the operators' text in force.",
            lambda: self.active_config.version,
        )

    def _apply_config(self, current: VersionedConfig) -> None:
        self._teams = {team.token: team for team in current.config.teams}
        now = asyncio.get_running_loop().time()
        self.admission.apply_config(current.config, now)
        update = self.transport.make_config_update()
        if update is not None:
            self.entry_links.broadcast(update)
        # Every frame carries the configuration version. Agents that see a newer one
        # request the configuration.
        self.agent_registry.broadcast_to_watched(EntryState(self.state))
        _log.info('text in force', extra={'version': current.version})

    def _build_service_statuses(self) -> list[ServiceStatus]:
        return [
            ServiceStatus(
                pool,
                self.scheduler.count_waiting(pool),
                self.scheduler.count_outstanding(pool),
            )
            for pool in self.active_config.config.pools
        ]

    def _build_target_statuses(self) -> list[TargetStatus]:
        views: list[AgentView] = []
        for pool in self.active_config.config.pools:
            views.extend(self.scheduler.list_agents(pool))
        return [_build_target_status(view) for view in views]


def _build_target_status(view: AgentView) -> TargetStatus:
    return TargetStatus(
        agent=view.identity.name,
        service=view.identity.service,
        data_centre=view.identity.data_centre,
        rack=view.identity.rack,
        state='ejected' if view.ejected else view.state,
        running=view.running,
        slots=view.identity.slots,
        memory_mb=view.identity.memory_mb,
    )
