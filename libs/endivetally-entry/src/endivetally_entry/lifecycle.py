"""Start, periodic work and graceful stop of an entry."""

import asyncio
import logging
import random
import signal
import sys
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

from endivetally_core.errors import EndivetallyError
from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import LinkClosed
from endivetally_core.errors import TableUnavailable
from endivetally_core.messages import AgentNews
from endivetally_core.messages import EntryState

from endivetally_entry.entry import Entry
from endivetally_entry.entry_links import Succession
from endivetally_entry.housekeeping import Housekeeping

if TYPE_CHECKING:
    from endivetally_config.settings import EntrySettings

_log = logging.getLogger(__name__)

TICK_S: Final = 0.25
HEARTBEAT_S: Final = 1
REPORT_S: Final = 1.5
ANSWER_S: Final = 0.75
ISOLATION_GRACE_S: Final = 5
ACKNOWLEDGE_INTERVAL_S: Final = 60
FROZEN_GAP_S: Final = 2
MAP_INTERVAL_S: Final = 5
START_RETRY_S: Final = 0.5
TARGETS_WAIT_S: Final = 3
TARGETS_POLL_S: Final = 0.05
DRAIN_POLL_S: Final = 0.05
BALANCER_GRACE_S: Final = 1
LINGER_S: Final = 0.3
EXIT_OK: Final = 0
EXIT_USAGE: Final = 2
EXIT_FENCED: Final = 75


class Lifecycle:
    """Runs an entry from its start to its end.

    :param entry: a wired entry.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._stopping = asyncio.Event()
        self._agents_before = 0
        self._isolated_at = -inf
        self._succession = Succession(
            entry.identity,
            entry.entry_links,
            entry.ownership.take_over,
            self._is_isolated,
        )
        self._housekeeping = Housekeeping(
            entry.journal,
            entry.shard_directory,
            entry.settings.key_retention_s,
        )
        self._exit_code = EXIT_OK

    async def run(self) -> int:
        """Serve until a stop is asked for; return the exit code."""
        entry = self._entry
        self._handle_signals()
        async with entry.stack:
            entry.spawn(entry.dispatcher.run())
            entry.spawn(self._join_until_done())
            entry.spawn(self._tick_forever())
            entry.spawn(self._housekeeping.run())
            self._write_ready_file()
            await self._stopping.wait()
            await self._drain()
            entry.cancel_tasks()
        return self._exit_code

    def stop(self) -> None:
        """Ask for a graceful stop."""
        self._stopping.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)

    def _write_ready_file(self) -> None:
        if self._entry.settings.ready_file:
            ready_file = Path(self._entry.settings.ready_file)
            ready_file.write_text(f'{self._entry.identity.address}\n')

    async def _join_until_done(self) -> None:
        """Register in the table; until it answers, learn from other entries."""
        while True:
            try:
                await self._join()
            except TableUnavailable:
                await self._join_seeds()
                await asyncio.sleep(START_RETRY_S)
            except IncarnationFenced:
                self._fenced()
                return
            else:
                break
        await self._wait_for_targets()
        self._open()
        await self._refresh_forever()

    async def _join(self) -> None:
        entry = self._entry
        await entry.registry.register(entry.identity)
        entry.registered.set()
        await entry.keeper.load(entry.table)
        await entry.ownership.start()
        await self._connect_entries()

    async def _join_seeds(self) -> None:
        for seed in self._entry.settings.seeds:
            try:
                await self._entry.entry_links.connect_seed(seed)
            except LinkClosed:
                continue
        if self._entry.keeper.version:
            await self._wait_for_targets()
            self._open()

    async def _wait_for_targets(self) -> None:
        """Give agents the time to join before callers are served."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + TARGETS_WAIT_S
        while loop.time() < give_up_at and not self._entry.serves_every_pool():
            await asyncio.sleep(TARGETS_POLL_S)

    def _open(self) -> None:
        if self._entry.opened.is_set():
            return
        self._entry.state = 'open'
        self._entry.opened.set()
        _log.info('entry open', extra={'incarnation': self._entry.identity.incarnation})

    async def _connect_entries(self) -> None:
        for identity in await self._entry.read_live():
            self._entry.entry_links.connect(identity)

    async def _refresh_forever(self) -> None:
        while True:
            await asyncio.sleep(MAP_INTERVAL_S * random.uniform(0.8, 1.2))
            try:
                await self._refresh()
            except TableUnavailable:
                _log.debug('table not read')
            except EndivetallyError:
                _log.exception('refresh failed')

    async def _refresh(self) -> None:
        entry = self._entry
        await entry.keeper.load(entry.table)
        await entry.ownership.refresh()
        asked_at = asyncio.get_running_loop().time()
        live = await entry.read_live()
        if entry.identity not in live:
            self._fenced()
            return
        entry.pulse.confirm(asked_at)
        for identity in live:
            entry.entry_links.connect(identity)
        if entry.state == 'open' and entry.journal.available:
            await self._rebalance()

    async def _rebalance(self) -> None:
        """Release shards that belong to another linked entry."""
        entry = self._entry
        linked = [
            known.identity.incarnation
            for known in entry.entry_links.entries
            if known.link is not None and known.state == 'open'
        ]
        if await entry.ownership.release_misplaced(linked):
            entry.peering.broadcast_state()

    async def _tick_forever(self) -> None:
        loop = asyncio.get_running_loop()
        last_tick = loop.time()
        next_heartbeat = last_tick
        next_flush = last_tick + ACKNOWLEDGE_INTERVAL_S
        while True:
            await asyncio.sleep(TICK_S)
            self._entry.pulse.beat()
            now = loop.time()
            if now - last_tick > FROZEN_GAP_S:
                self._entry.entry_links.restart_silence()
                self._entry.roster.restart_silence()
            last_tick = now
            if now >= next_heartbeat:
                next_heartbeat = now + HEARTBEAT_S
                self._send_heartbeats(now)
            if now >= next_flush:
                next_flush = now + ACKNOWLEDGE_INTERVAL_S
                self._entry.acknowledgements.flush()
            await self._look_for_failures()

    async def _look_for_failures(self) -> None:
        entry = self._entry
        silent = entry.agent_links.mark_silent_agents()
        if silent:
            entry.entry_links.broadcast(AgentNews(silent))
        entry.agent_links.probe_silent_agents()
        entry.agent_links.probe_busy_agents()
        if entry.journal.fenced:
            self._fenced()
        if entry.state == 'open':
            await self._check_succession()

    async def _check_succession(self) -> None:
        if self._entry.entry_links.any_doubtful():
            # Their answers tell which side of a cut this entry is on.
            self._entry.agent_links.probe_all_agents()
        else:
            self._agents_before = len(self._entry.roster.agents)
        try:
            await self._succession.check()
        except IncarnationFenced:
            # Two entries may suspect each other; this one lost.
            self._fenced()

    def _is_isolated(self) -> bool:
        """Return whether this entry did not hear most of the agents lately."""
        now = asyncio.get_running_loop().time()
        agents = self._entry.roster.agents
        heard = [agent for agent in agents if agent.answers(now, REPORT_S, ANSWER_S)]
        if self._agents_before and len(heard) * 2 <= self._agents_before:
            self._isolated_at = now
        return now - self._isolated_at < ISOLATION_GRACE_S

    def _send_heartbeats(self, now: float) -> None:
        entry = self._entry
        entry.quotas.rebalance(now)
        entries = len(entry.known_identities())
        entry.admission.set_entry_count(entries)
        entry.journal.set_write_rate(entry.settings.table_writes_per_s / entries)
        entry.peering.broadcast_state()
        entry.agent_links.tell_entries(entry.known_identities())
        entry.ledger.prune()

    def _fenced(self) -> None:
        if self._stopping.is_set():
            return
        _log.warning('this incarnation was fenced; stopping')
        self._exit_code = EXIT_FENCED
        self.stop()

    async def _drain(self) -> None:
        """Hand the shards over, finish what is in progress, then stop."""
        entry = self._entry
        entry.state = 'leaving'
        await self._hand_over()
        entry.peering.broadcast_state()
        entry.roster.broadcast(EntryState('leaving'))
        await asyncio.sleep(BALANCER_GRACE_S)
        entry.server.stop()
        deadline = asyncio.get_running_loop().time() + entry.settings.drain_timeout_s
        while entry.open_requests and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        entry.acknowledgements.flush()
        await asyncio.sleep(LINGER_S)
        _log.info('entry stopped')

    async def _hand_over(self) -> None:
        if self._exit_code == EXIT_FENCED:
            return
        try:
            await self._entry.ownership.leave()
        except (TableUnavailable, IncarnationFenced):
            _log.warning('shards not handed over')


async def run_lifecycle(settings: 'EntrySettings') -> int:
    """Run an entry in the current event loop; return the exit code."""
    try:
        entry = Entry(settings)
    except OSError as error:
        sys.stderr.write(f'{settings.listen}: {error.strerror}\n')
        return EXIT_USAGE
    return await Lifecycle(entry).run()
