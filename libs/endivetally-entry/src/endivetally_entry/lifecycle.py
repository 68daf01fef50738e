"""Startup, periodic work and graceful shutdown of an entry."""

import asyncio
import logging
import random
import signal
import sys
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import TableUnavailable
from endivetally_core.messages import AgentNews
from endivetally_core.messages import EntryState

from endivetally_entry.entry import Entry
from endivetally_entry.entry_links import TakeoverController
from endivetally_entry.housekeeping import JournalPruner

if TYPE_CHECKING:
    from endivetally_config.settings import EntrySettings

_log = logging.getLogger(__name__)

TICK_INTERVAL_S: Final = 0.25
HEARTBEAT_INTERVAL_S: Final = 1
# An agent whose heartbeat or probe response is later than this does not count as
# responsive when the entry determines whether it is isolated.
HEARTBEAT_TIMEOUT_S: Final = 1.5
PROBE_TIMEOUT_S: Final = 0.75
ISOLATION_HOLD_S: Final = 5
ACKNOWLEDGE_INTERVAL_S: Final = 60
# A longer gap between ticks means that this process was paused.
SILENCE_RESET_GAP_S: Final = 2
REFRESH_INTERVAL_S: Final = 5
START_RETRY_S: Final = 0.5
# An entry that starts waits this long for agents of a pool that nobody serves.
TARGETS_WAIT_S: Final = 3
# For a pool that another entry serves; agents try an entry again within 10 s.
SERVED_TARGETS_WAIT_S: Final = 12
TARGETS_POLL_INTERVAL_S: Final = 0.05
DRAIN_POLL_INTERVAL_S: Final = 0.05
# Time for load balancers to notice the failing health check before the port closes.
BALANCER_GRACE_S: Final = 1
# Delay between the last acknowledgements and the exit.
EXIT_DELAY_S: Final = 0.3
EXIT_OK: Final = 0
EXIT_USAGE: Final = 2
EXIT_FENCED: Final = 75


class Lifecycle:
    """Runs an entry from startup to shutdown.

    :param entry: the entry, constructed but not started.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._stopping = asyncio.Event()
        self._agents_before_suspicion = 0
        self._isolated_at = -inf
        self._takeover_controller = TakeoverController(
            entry.identity,
            entry.entry_links,
            entry.ownership.take_over,
            self._is_isolated,
        )
        self._journal_pruner = JournalPruner(
            entry.journal,
            entry.shard_directory,
            entry.settings.key_retention_s,
        )
        self._exit_code = EXIT_OK

    async def run(self) -> int:
        """Run the entry until `stop` is called, then drain it.

        :returns: exit code of the process.
        """
        entry = self._entry
        self._handle_signals()
        async with entry.exit_stack:
            entry.spawn(entry.dispatcher.run())
            entry.spawn(self._start_up())
            entry.spawn(self._run_tick_loop())
            entry.spawn(self._journal_pruner.run())
            self._write_ready_file()
            await self._stopping.wait()
            await self._drain()
            entry.cancel_tasks()
        return self._exit_code

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self._stopping.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)

    def _write_ready_file(self) -> None:
        if self._entry.settings.ready_file:
            ready_file = Path(self._entry.settings.ready_file)
            ready_file.write_text(f'{self._entry.identity.address}\n')

    async def _start_up(self) -> None:
        """Register in the table; while it is unavailable, join the seed entries."""
        while True:
            try:
                await self._register()
            except TableUnavailable:
                await self._join_through_seeds()
                await asyncio.sleep(START_RETRY_S)
            except IncarnationFenced:
                self._stop_as_fenced()
                return
            else:
                break
        await self._wait_for_targets()
        self._open()
        await self._run_refresh_loop()

    async def _register(self) -> None:
        entry = self._entry
        await entry.entry_registry.register(entry.identity)
        entry.registered.set()
        await entry.active_config.load(entry.table)
        await entry.ownership.start()
        await self._connect_entries()

    async def _join_through_seeds(self) -> None:
        for seed in self._entry.settings.seeds:
            try:
                await self._entry.entry_links.connect_to_seed(seed)
            except LinkClosed:
                continue
        if self._entry.active_config.version:
            await self._wait_for_targets()
            self._open()

    async def _wait_for_targets(self) -> None:
        """Wait for agents to join before callers are served, for a limited time."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while must_wait_for_targets(
            frozenset(self._entry.active_config.config.pools),
            self._entry.find_served_pools(),
            self._entry.entry_links.reported_pools,
            loop.time() - started_at,
        ):
            await asyncio.sleep(TARGETS_POLL_INTERVAL_S)

    def _open(self) -> None:
        if self._entry.opened.is_set():
            return
        self._entry.state = 'open'
        self._entry.opened.set()
        _log.info('entry open', extra={'incarnation': self._entry.identity.incarnation})

    async def _connect_entries(self) -> None:
        for identity in await self._entry.read_live_entries():
            self._entry.entry_links.connect(identity)

    async def _run_refresh_loop(self) -> None:
        while True:
            await asyncio.sleep(REFRESH_INTERVAL_S * random.uniform(0.8, 1.2))
            try:
                await self._refresh()
            except TableUnavailable:
                _log.debug('refresh postponed: the table service is unavailable')
            except Exception:
                # The next refresh may succeed, and nothing else reads the table.
                _log.exception('refresh of configuration, shards and entries failed')

    async def _refresh(self) -> None:
        entry = self._entry
        await entry.active_config.load(entry.table)
        await entry.ownership.refresh()
        queried_at = asyncio.get_running_loop().time()
        live = await entry.read_live_entries()
        if entry.identity not in live:
            self._stop_as_fenced()
            return
        entry.liveness.confirm_liveness(queried_at)
        for identity in live:
            entry.entry_links.connect(identity)
        if entry.state == 'open' and entry.journal.available:
            await self._rebalance()

    async def _rebalance(self) -> None:
        """Release the shards that rendezvous hashing assigns to connected entries."""
        entry = self._entry
        linked = [
            peer.identity.incarnation
            for peer in entry.entry_links.peers
            if peer.link is not None and peer.state == 'open'
        ]
        if await entry.ownership.release_misplaced_shards(linked):
            entry.peer_protocol.broadcast_state()

    async def _run_tick_loop(self) -> None:
        loop = asyncio.get_running_loop()
        last_tick = loop.time()
        next_heartbeat = last_tick
        next_flush = last_tick + ACKNOWLEDGE_INTERVAL_S
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._entry.liveness.record_tick()
            now = loop.time()
            if now - last_tick > SILENCE_RESET_GAP_S:
                # This process was paused and could not receive any frame.
                self._entry.entry_links.reset_silence()
                self._entry.agent_registry.reset_silence()
            last_tick = now
            if now >= next_heartbeat:
                next_heartbeat = now + HEARTBEAT_INTERVAL_S
                self._send_heartbeats(now)
            if now >= next_flush:
                next_flush = now + ACKNOWLEDGE_INTERVAL_S
                self._entry.acknowledgements.flush_all()
            await self._detect_failures()

    async def _detect_failures(self) -> None:
        entry = self._entry
        silent = entry.agent_links.mark_silent_agents()
        if silent:
            entry.entry_links.broadcast(AgentNews(silent))
        entry.agent_links.probe_silent_agents()
        entry.agent_links.probe_busy_agents()
        if entry.journal.fenced:
            self._stop_as_fenced()
        if entry.state == 'open':
            await self._check_takeovers()

    async def _check_takeovers(self) -> None:
        if self._entry.entry_links.has_imminent_suspects():
            # The responses of the agents show whether this entry itself is isolated.
            self._entry.agent_links.probe_all_agents()
        else:
            self._agents_before_suspicion = len(self._entry.agent_registry.agents)
        try:
            await self._takeover_controller.check_suspects()
        except IncarnationFenced:
            # Two entries can suspect each other; the other one was first.
            self._stop_as_fenced()

    def _is_isolated(self) -> bool:
        """Return whether this entry seems to be isolated from most agents.

        That is the case while at most half of the agents respond in time, counted
        against those known before any entry was about to be suspected, and for
        `ISOLATION_HOLD_S` after that.
        """
        now = asyncio.get_running_loop().time()
        agents = self._entry.agent_registry.agents
        responsive = [
            agent
            for agent in agents
            if agent.is_responsive(now, HEARTBEAT_TIMEOUT_S, PROBE_TIMEOUT_S)
        ]
        if (
            self._agents_before_suspicion
            and len(responsive) * 2 <= self._agents_before_suspicion
        ):
            self._isolated_at = now
        return now - self._isolated_at < ISOLATION_HOLD_S

    def _send_heartbeats(self, now: float) -> None:
        entry = self._entry
        entry.quotas.rebalance(now)
        entries = len(entry.list_connected_entries())
        entry.admission.set_entry_count(entries)
        entry.journal.set_write_rate(entry.settings.table_writes_per_s / entries)
        entry.peer_protocol.broadcast_state()
        entry.agent_links.announce_entries(entry.list_connected_entries())
        entry.idempotency_cache.prune()

    def _stop_as_fenced(self) -> None:
        if self._stopping.is_set():
            return
        _log.warning('this incarnation was fenced; stopping')
        self._exit_code = EXIT_FENCED
        self.stop()

    async def _drain(self) -> None:
        """Transfer the shards, close the port and finish the open requests."""
        entry = self._entry
        entry.state = 'leaving'
        await self._transfer_shards()
        entry.peer_protocol.broadcast_state()
        entry.agent_registry.broadcast(EntryState('leaving'))
        await asyncio.sleep(BALANCER_GRACE_S)
        entry.server.stop()
        deadline = asyncio.get_running_loop().time() + entry.settings.drain_timeout_s
        while entry.open_requests and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        entry.acknowledgements.flush_all()
        await asyncio.sleep(EXIT_DELAY_S)
        _log.info('entry stopped')

    async def _transfer_shards(self) -> None:
        if self._exit_code == EXIT_FENCED:
            return
        try:
            await self._entry.ownership.leave()
        except (TableUnavailable, IncarnationFenced):
            _log.warning(
                'shards not transferred: this entry is fenced or the table is down'
            )


def must_wait_for_targets(
    pools: frozenset[str],
    served: frozenset[str],
    served_elsewhere: frozenset[str],
    waited_s: float,
) -> bool:
    """Return whether an entry that starts has to wait for more agents to join.

    An entry that opened sooner would refuse requests with ``no_target`` although the
    pool is served.

    :param pools: all pools of the configuration.
    :param served: pools in which this entry has an open target.
    :param served_elsewhere: pools in which another entry has one.
    :param waited_s: seconds since the entry began to wait.

    >>> must_wait_for_targets(frozenset('ab'), frozenset('a'), frozenset('b'), 5)
    True
    >>> must_wait_for_targets(frozenset('ab'), frozenset('a'), frozenset('a'), 5)
    False
    """
    if pools and pools <= served:
        return False
    if (pools - served) & served_elsewhere:
        return waited_s < SERVED_TARGETS_WAIT_S
    return waited_s < TARGETS_WAIT_S


async def run_lifecycle(settings: 'EntrySettings') -> int:
    """Run an entry in the current event loop.

    :returns: exit code of the process.
    """
    try:
        entry = Entry(settings)
    except OSError as error:
        sys.stderr.write(f'{settings.listen}: {error.strerror}\n')
        return EXIT_USAGE
    return await Lifecycle(entry).run()
