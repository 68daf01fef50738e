"""Service discovery: agents and entries register in rows of the platform's table.

Each agent writes one row under its address, each entry one under its name. Entries read
all rows once and then follow the changes. The row of an agent is only a hint where to
connect; the agent that responds there identifies itself. Entries renew their rows, so
that each knows which entries share the agents, and each connects only to the agents
that rank it among their first few entries. An agent writes its row again only when
another writer has replaced it.
"""

import asyncio
import itertools
import math
import random
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Final
from typing import Protocol

import msgspec
from endivetally_core.backoff import Backoff
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.identifiers import rank_by_rendezvous
from endivetally_core.joining import Address
from endivetally_table.feed import FeedTable
from endivetally_table.feed import HistoryLost
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Transaction

from endivetally_held.guard import report_unexpected_error

AGENT_PREFIX: Final = 'agents/'
ENTRY_PREFIX: Final = 'entries/'
# Number of entries that use one agent. More would use its capacity more evenly, but
# each costs it messages. In a fleet of 300, an entry has fewer than 30 connections.
ENTRIES_PER_AGENT: Final = 4
# An entry renews its row at this interval. An entry whose row is not renewed for the
# longer time, while the rows of others are, is ignored.
RENEW_INTERVAL_S: Final = 10
STALE_AFTER_S: Final = 25
# An agent without an entry reads its row at this interval, with this jitter; any other
# one at each sixth, so that 1,400 agents make 23 reads a second. Writes in place of the
# reads would take up the 150 a second that one part of the store allows.
CHECK_INTERVAL_S: Final = 10
CHECK_JITTER: Final = (0.75, 1.25)
CHECKS_PER_READ: Final = 6
# A lost connection to the table is detected within this time plus the response timeout;
# a new configuration must be in force within 2 s.
FEED_POLL_WAIT_S: Final = 1.2
# First and longest delay before a failed call is repeated. Rows must be up to date
# about 2 s after an outage of the table.
FIRST_RETRY_S: Final = 0.1
LONGEST_RETRY_S: Final = 0.8


class AgentRow(msgspec.Struct, frozen=True):
    """Row that an agent writes about itself.

    :param incarnation: identifies the process; a restarted agent has another one.
    """

    name: str
    incarnation: str
    data_centre: str
    address: Address


class EntryRow(msgspec.Struct, frozen=True):
    """Row that an entry writes about itself.

    :param incarnation: identifies the process; a restarted entry has another one.
    :param renewed: number of times that this incarnation has written the row before.
    """

    name: str
    incarnation: str
    renewed: int


async def register(
    table: FeedTable, key: str, row: AgentRow | EntryRow, events: EventLog
) -> None:
    """Write the row of a process; retry until the table has accepted it."""
    backoff = Backoff(FIRST_RETRY_S)
    put = Put(key, msgspec.json.encode(row))
    while True:
        try:
            await table.commit(Transaction((), (put,)))
        except (TableUnavailable, TableConflict) as error:
            events.emit(Event.TABLE_UNAVAILABLE, call='announce', reason=str(error))
            await backoff.wait(LONGEST_RETRY_S)
            continue
        events.emit(Event.ROW_WRITTEN, key=key)
        return


async def keep_agent_registered(
    table: FeedTable,
    row: AgentRow,
    events: EventLog,
    is_connected: Callable[[], bool],
) -> None:
    """Write the row of an agent, and again when another writer has replaced it.

    :param is_connected: returns whether an entry is connected to the agent; without one
        the row is read more often.
    """
    key = f'{AGENT_PREFIX}{row.address}'
    content = msgspec.json.encode(row)
    while True:
        await register(table, key, row, events)
        await _wait_until_replaced(table, key, content, is_connected)


async def _wait_until_replaced(
    table: FeedTable, key: str, content: bytes, is_connected: Callable[[], bool]
) -> None:
    for count in itertools.count(1):
        # Agents that have started together do not read the table together.
        await asyncio.sleep(CHECK_INTERVAL_S * random.uniform(*CHECK_JITTER))
        due = not is_connected() or count % CHECKS_PER_READ == 0
        if due and await _is_replaced(table, key, content):
            return


async def _is_replaced(table: FeedTable, key: str, content: bytes) -> bool:
    try:
        row = await table.read(key)
    except TableUnavailable:
        return False
    return row is None or row.content != content


async def keep_registered(
    table: FeedTable, name: str, incarnation: str, events: EventLog
) -> None:
    """Renew the row of an entry until cancelled.

    :param name: configured name of the entry.
    :param incarnation: identifies the process; a restarted entry has another one.
    """
    for renewed in itertools.count():
        row = EntryRow(name, incarnation, renewed)
        await register(table, f'{ENTRY_PREFIX}{name}', row, events)
        await asyncio.sleep(RENEW_INTERVAL_S)


@dataclass(frozen=True, slots=True)
class _RankedAgent:
    """What the row of an agent has told, and whether this entry is to connect to it.

    :param version: version of the row.
    :param address: ``None`` if no version of the row was valid.
    """

    version: int
    address: Address | None = None
    data_centre: str = ''
    selected: bool = False


@dataclass(frozen=True, slots=True)
class _KnownEntry:
    """What the row of an entry has told.

    :param version: version of the row.
    :param renewed_at: when a row that names the entry was last read, in seconds.
    """

    version: int
    renewed_at: float


class AgentSelector:
    """Selects the agents that an entry connects to.

    An agent is ranked again only when its row or the set of live entries has changed,
    so that the renewals of rows cost little in a large fleet.

    :param name: configured name of the entry.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(self, name: str, events: EventLog, clock: Callable[[], float]) -> None:
        self._name = name
        self._events = events
        self._clock = clock
        self._known_entries: dict[str, _KnownEntry] = {}
        self._entries: frozenset[str] = frozenset()
        self._agents: dict[str, _RankedAgent] = {}

    @property
    def data_centres(self) -> set[str]:
        """Data centres in the rows of all agents."""
        agents = self._agents.values()
        return {agent.data_centre for agent in agents if agent.data_centre}

    def select(self, rows: Mapping[str, Row]) -> set[Address]:
        """Return the addresses of the agents to connect to.

        :param rows: rows of all agents and entries by their keys.
        """
        entries = self._find_live_entries(rows)
        rank_again = entries != self._entries
        self._entries = entries
        self._agents = {
            key: self._rank_agent(row, self._agents.get(key), rank_again=rank_again)
            for key, row in rows.items()
            if key.startswith(AGENT_PREFIX)
        }
        return {
            agent.address
            for agent in self._agents.values()
            if agent.selected and agent.address is not None
        }

    def _rank_agent(
        self, row: Row, former: _RankedAgent | None, *, rank_again: bool
    ) -> _RankedAgent:
        if former is None or former.version != row.version:
            agent = self._decode_agent(row, former)
        elif rank_again:
            agent = former
        else:
            return former
        if agent.address is None:
            return agent
        ranked = rank_by_rendezvous(str(agent.address), self._entries)
        return replace(agent, selected=self._name in ranked[:ENTRIES_PER_AGENT])

    def _decode_agent(self, row: Row, former: _RankedAgent | None) -> _RankedAgent:
        """Return the agent of a row; a malformed row leaves the former agent in use.

        The agent writes its row once, and may still run when another writer has
        overwritten it.
        """
        try:
            decoded = msgspec.json.decode(row.content, type=AgentRow)
        except (ValueError, RecursionError) as error:
            self._events.emit(Event.ROW_IGNORED, key=row.key, reason=str(error))
            return replace(former or _RankedAgent(row.version), version=row.version)
        return _RankedAgent(row.version, decoded.address, decoded.data_centre)

    def _find_live_entries(self, rows: Mapping[str, Row]) -> frozenset[str]:
        self._known_entries = {
            key: self._check_entry(row, self._known_entries.get(key))
            for key, row in rows.items()
            if key.startswith(ENTRY_PREFIX)
        }
        stale_at = self._clock() - STALE_AFTER_S
        live = {
            key.removeprefix(ENTRY_PREFIX)
            for key, known in self._known_entries.items()
            if known.renewed_at > stale_at
        }
        return frozenset((self._name, *live))

    def _check_entry(self, row: Row, former: _KnownEntry | None) -> _KnownEntry:
        """Return what is known of an entry; only a row that names it renews it."""
        if former is not None and former.version == row.version:
            return former
        try:
            _check_entry_row(row)
        except (ValueError, RecursionError) as error:
            self._events.emit(Event.ROW_IGNORED, key=row.key, reason=str(error))
            renewed_at = former.renewed_at if former else -math.inf
            return _KnownEntry(row.version, renewed_at)
        return _KnownEntry(row.version, self._clock())


def _check_entry_row(row: Row) -> None:
    """Check that a row is one that the entry of its key writes about itself.

    :raises ValueError: when it is malformed or names another entry.
    :raises RecursionError: when it is nested too deeply.
    """
    name = msgspec.json.decode(row.content, type=EntryRow).name
    if not name or row.key != f'{ENTRY_PREFIX}{name}':
        raise ValueError(f'the row names the entry {name!r}')


class ContactHandler(Protocol):
    """Handles the success or failure of a call to the table."""

    def __call__(self, version: int | None, *, available: bool) -> None:
        """Handle the end of a call."""


class RowWatcher:
    """Keeps a copy of the rows whose keys start with a prefix.

    :param on_rows: called with the copy after the first read and after each change.
    :param on_contact: called after each call with the version of the copy, ``None`` if
        it has to be read again, and whether the call was answered.
    """

    def __init__(
        self,
        table: FeedTable,
        prefix: str,
        on_rows: Callable[[dict[str, Row]], None],
        events: EventLog,
        on_contact: ContactHandler | None = None,
    ) -> None:
        self.available = False
        self._on_contact = on_contact
        self._reported_available: bool | None = None
        self._table = table
        self._prefix = prefix
        self._on_rows = on_rows
        self._events = events
        self._rows: dict[str, Row] = {}
        self._version: int | None = None

    @property
    def version(self) -> int:
        """Version of the store at which the copy is complete; 0 before the first."""
        return self._version or 0

    async def run(self) -> None:
        """Keep the copy up to date until cancelled."""
        backoff = Backoff(FIRST_RETRY_S)
        while True:
            try:
                await self._update()
            except HistoryLost:
                self._events.emit(Event.CHANGE_FEED_RESET, prefix=self._prefix)
                self._version = None
            except TableUnavailable as error:
                self._set_available(available=False, reason=str(error))
                await backoff.wait(LONGEST_RETRY_S)
                continue
            except Exception as error:
                report_unexpected_error(self._events, error)
                self._set_available(available=False, reason=repr(error))
                # The changes that were not applied are in the next snapshot.
                self._version = None
                await backoff.wait(LONGEST_RETRY_S)
                continue
            self._set_available(available=True)
            backoff.reset()

    async def _update(self) -> None:
        if self._version is None:
            snapshot = await self._table.read_snapshot(self._prefix)
            self._rows = {row.key: row for row in snapshot.rows}
            self._version = snapshot.version
            self._on_rows(self._rows)
            return
        changes = await self._table.wait_for_changes(self._version, FEED_POLL_WAIT_S)
        self._version = max(self._version, changes.version)
        watched = [each for each in changes.rows if each.key.startswith(self._prefix)]
        for change in watched:
            if change.row is None:
                self._rows.pop(change.key, None)
            else:
                self._rows[change.key] = change.row
        if watched:
            self._on_rows(self._rows)

    def _set_available(self, *, available: bool, reason: str = '') -> None:
        self.available = available
        if self._on_contact is not None:
            self._on_contact(self._version, available=available)
        if available == self._reported_available:
            return
        self._reported_available = available
        event = Event.TABLE_AVAILABLE if available else Event.TABLE_UNAVAILABLE
        self._events.emit(event, prefix=self._prefix, reason=reason)
