"""The entry daemon: one central object that wires the parts together."""

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
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from endivetally_entry.acknowledgements import Acknowledgements
from endivetally_entry.agent_links import AgentLinks
from endivetally_entry.dispatching import Dispatcher
from endivetally_entry.entry_links import EntryLinks
from endivetally_entry.exchange import LinkTransport
from endivetally_entry.forwards import Forwards
from endivetally_entry.front import RequestRouter
from endivetally_entry.keyed import KeyedRequests
from endivetally_entry.ledger import KeyLedger
from endivetally_entry.measures import Measures
from endivetally_entry.ownership import Ownership
from endivetally_entry.peering import Peering
from endivetally_entry.pulse import Pulse
from endivetally_entry.recovery import Recovery
from endivetally_entry.roster import AgentRoster
from endivetally_entry.routes import make_application

_log = logging.getLogger(__name__)

TRANSPORT_BODY_FACTOR = 8
BYTES_PER_MB = 1024 * 1024


class Entry:
    """An entry and all its parts; the lifecycle starts and drains it.

    Create it inside a running event loop.

    :param settings: checked settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.state = 'starting'
        self.registered = asyncio.Event()
        self.opened = asyncio.Event()
        self.stack = AsyncExitStack()
        self.shaper = RuleShaper()
        self._fenced: list[str] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self.identity = self._listen()
        self._create_infrastructure()
        self._create_policies()
        self._create_agent_parts()
        self._create_request_parts()
        self._create_metrics()

    @property
    def in_progress(self) -> int:
        """Requests and bindings without an end."""
        return self.dispatcher.in_progress + self.ledger.in_progress

    @property
    def open_requests(self) -> int:
        """Requests of callers that have no answer yet."""
        return self.measures.open_requests + self.in_progress

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine until it ends or the entry stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel_tasks(self) -> None:
        """Cancel everything that was spawned."""
        for task in list(self._tasks):
            task.cancel()

    def team_of_token(self, token: str) -> Team | None:
        """Return the team with a bearer token."""
        return self._teams.get(token)

    def serve_link(self, joining: JoinRequest, listener: LinkListener) -> None:
        """Serve the link of a process that introduced itself."""
        if joining.agent is not None:
            self.spawn(self.agent_links.serve(joining.agent, listener))
        elif joining.entry is not None:
            self.spawn(self.entry_links.serve(joining.entry, listener))

    def known_identities(self) -> list[EntryIdentity]:
        """Return this entry and the entries that it is linked to."""
        return self.entry_links.identities

    def fenced_entries(self) -> list[str]:
        """Return entries that were taken over, as the table last told.

        Those that left as planned are not among them: they finish their work.
        """
        return list(self._fenced)

    async def read_live(self) -> list[EntryIdentity]:
        """Return the live entries, and note those that were taken over.

        :raises TableUnavailable: when the table does not answer.
        """
        rows = await self.registry.rows()
        self._fenced = [
            row.identity.incarnation for row in rows if row.state == 'fenced'
        ]
        return [row.identity for row in rows if row.state == 'live']

    def serves_every_pool(self) -> bool:
        """Return whether a target of each pool takes work from here."""
        pools = self.keeper.config.pools
        return bool(pools) and all(map(self.scheduler.capacity, pools))

    async def wait_until_open(self, timeout_s: float) -> None:
        """Wait for the start to end, for a time at most."""
        if self.opened.is_set():
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(self.opened.wait(), timeout_s)

    def unready_reason(self) -> str:
        """Return why the balancer should send no requests, or nothing."""
        if self.state != 'open':
            return self.state
        if self.keeper.version == 0:
            return 'no text in force'
        return ''

    async def submit_text(self, encoded: bytes, based_on: int, submitter: str) -> int:
        """Put a text in force and spread it.

        :raises RequestError: when it is refused or loses a race.
        """
        return await self.keeper.submit(self.table, encoded, based_on, submitter)

    async def text_history(self) -> bytes:
        """Return the versions of the text as JSON."""
        try:
            changes = await self.keeper.read_history(self.table)
        except TableUnavailable as error:
            raise RequestError(ErrorKind.PLATFORM_UNAVAILABLE) from error
        return msgspec.json.encode(ConfigHistory(changes))

    def status(self) -> EntryStatus:
        """Return what this entry sees."""
        shard_map = self.shard_directory.shard_map
        return EntryStatus(
            name=self.identity.name,
            incarnation=self.identity.incarnation,
            data_centre=self.identity.data_centre,
            state=self.unready_reason() or self.state,
            version=self.keeper.version,
            platform=self.journal.available,
            shards=len(shard_map.shards_of(self.identity.incarnation)),
            entries=[str(known.address) for known in self.known_identities()],
            services=self._service_statuses(),
            targets=self._target_statuses(),
        )

    def burn(self) -> BurnSnapshot:
        """Return the counts for the report on service-level burn."""
        return self.measures.burn.snapshot(self.identity.name, self.keeper.version)

    def _listen(self) -> EntryIdentity:
        address = self.settings.listen
        sockets = bind_sockets(address.port, address.host)
        self.server = HTTPServer(
            make_application(self),
            max_body_size=self.settings.max_body_bytes * TRANSPORT_BODY_FACTOR,
        )
        self.server.add_sockets(sockets)
        return EntryIdentity(
            self.settings.name,
            new_incarnation(self.settings.name),
            self.settings.data_centre,
            Address(address.host, sockets[0].getsockname()[1]),
        )

    def _create_infrastructure(self) -> None:
        self._teams: dict[str, Team] = {}
        self.keeper = ConfigManager()
        self.keeper.add_change_callback(self._text_changed)
        self.transport = LinkTransport(self.keeper, self.shaper)
        self.table = HttpTable(self.settings.table)
        self.stack.callback(self.table.close)

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

    def _create_agent_parts(self) -> None:
        self.roster = AgentRoster()
        self.dispatcher = Dispatcher(self.scheduler, self.roster)
        self.acknowledgements = Acknowledgements(
            self.identity.incarnation,
            self.roster,
        )
        self.registry = EntryRegistry(self.table)
        self.recovery = Recovery(
            self.table,
            self.registry,
            self.roster,
            self.settings.key_retention_s,
        )
        self.journal = Journal(self.table, self.identity)
        self.stack.callback(self.journal.close)
        self.agent_links = AgentLinks(
            self.roster,
            self.transport,
            self.scheduler,
            self.dispatcher,
            self.journal,
            self.recovery,
            self.acknowledgements,
            lambda: EntryState(self.state),
            self.registered,
        )

    def _create_request_parts(self) -> None:
        self.pulse = Pulse(asyncio.get_running_loop().time)
        sequences = itertools.count(1)
        self.shard_directory = ShardDirectory(
            self.table,
            retention_s=self.settings.key_retention_s,
        )
        self.ownership = Ownership(
            self.identity,
            self.shard_directory,
            self.recovery,
            self.journal,
        )
        self.ledger = KeyLedger(
            self.settings.key_retention_s,
            self.settings.key_memory_mb * BYTES_PER_MB,
        )
        self.peering = Peering(self)
        self.entry_links = EntryLinks(
            self.identity,
            self.transport,
            self.peering.message_received,
        )
        self.stack.callback(self.entry_links.close)
        self.forwards = Forwards(self.entry_links.find_link)
        self.entry_links.attach(self.forwards)
        self.keyed = KeyedRequests(
            self.identity.incarnation,
            self.ownership,
            self.ledger,
            self.journal,
            self.recovery,
            self.admission,
            self.dispatcher,
            self.retries,
            self.acknowledgements,
            self.pulse,
            sequences,
        )
        self.request_router = RequestRouter(
            self.identity.incarnation,
            self.ownership,
            self.forwards,
            self.keyed,
            self.ledger,
            self.recovery,
            self.admission,
            self.dispatcher,
            self.retries,
            sequences,
        )

    def _create_metrics(self) -> None:
        self.measures = Measures(self.transport.counters)
        self.measures.add_gauge(
            'endivetally_in_progress',
            'Requests and bindings without an end.',
            lambda: self.in_progress,
        )
        self.measures.add_gauge(
            'endivetally_remembered_keys',
            'Keys of which this entry remembers the request.',
            lambda: self.ledger.remembered,
        )
        self.measures.add_gauge(
            'endivetally_remembered_bytes',
            'Bytes of remembered answers.',
            lambda: self.ledger.body_bytes,
        )
        self.measures.add_gauge(
            'endivetally_text_version',
            "Version of the operators' text in force.",
            lambda: self.keeper.version,
        )

    def _text_changed(self, current: VersionedConfig) -> None:
        self._teams = {team.token: team for team in current.config.teams}
        now = asyncio.get_running_loop().time()
        self.admission.apply_config(current.config, now)
        update = self.transport.text_update()
        if update is not None:
            self.entry_links.broadcast(update)
        # The frame's version makes agents ask for the text.
        self.roster.broadcast_to_watched(EntryState(self.state))
        _log.info('text in force', extra={'version': current.version})

    def _service_statuses(self) -> list[ServiceStatus]:
        return [
            ServiceStatus(
                pool,
                self.scheduler.count_waiting(pool),
                self.scheduler.count_outstanding(pool),
            )
            for pool in self.keeper.config.pools
        ]

    def _target_statuses(self) -> list[TargetStatus]:
        views: list[AgentView] = []
        for pool in self.keeper.config.pools:
            views.extend(self.scheduler.list_agents(pool))
        return [_target_status(view) for view in views]


def _target_status(view: AgentView) -> TargetStatus:
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
