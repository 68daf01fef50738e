"""Where agents and entries are found: rows of the platform's table.

Each process writes one row under its address. Entries read all of them once, then
follow the changes. An agent's row is a hint where to dial; who answers there
introduces itself. Entries renew their rows, so that each knows how many share the
agents, and links only to those that rank it among their first few.
"""

import asyncio
import itertools
from collections.abc import Callable
from collections.abc import Mapping
from typing import Final

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

AGENT_PREFIX: Final = 'agents/'
ENTRY_PREFIX: Final = 'entries/'
# Entries that use one agent. More would share its room better and cost each of
# them messages; a fleet of 300 then keeps under 30 links an entry.
ENTRIES_PER_AGENT: Final = 4
# An entry's row is renewed in this interval; one that is not for the longer time,
# while others are, is passed over.
RENEW_S: Final = 10
STALE_S: Final = 25
# A lost connection to the table is found within this time and the wait for an
# answer; configuration has to be in force within 2 s.
FEED_WAIT_S: Final = 1.2
# First and longest delay until a failed call is repeated. Rows have to be back
# about 2 s after the end of an outage.
FIRST_RETRY_S: Final = 0.1
LONGEST_RETRY_S: Final = 0.8


class AgentRow(msgspec.Struct, frozen=True):
    """What an agent writes about itself.

    :param incarnation: name of this start of the process.
    """

    name: str
    incarnation: str
    data_centre: str
    address: Address


class EntryRow(msgspec.Struct, frozen=True):
    """What an entry writes about itself.

    :param renewed: number of times that this start of it has written the row.
    """

    name: str
    incarnation: str
    renewed: int


async def register(
    table: FeedTable, key: str, row: AgentRow | EntryRow, events: EventLog
) -> None:
    """Write the row of a process, and repeat it until the table answers."""
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


async def keep_registered(
    table: FeedTable, name: str, incarnation: str, events: EventLog
) -> None:
    """Renew the row of an entry until cancelled."""
    for renewed in itertools.count():
        row = EntryRow(name, incarnation, renewed)
        await register(table, f'{ENTRY_PREFIX}{name}', row, events)
        await asyncio.sleep(RENEW_S)


class AgentSelector:
    """Which agents an entry links to.

    :param name: configured name of the entry.
    :param clock: steady seconds.
    """

    def __init__(self, name: str, events: EventLog, clock: Callable[[], float]) -> None:
        self._name = name
        self._events = events
        self._clock = clock
        self._seen: dict[str, tuple[int, float]] = {}

    def select(self, rows: Mapping[str, Row]) -> set[Address]:
        """Return the addresses of the agents to link to.

        :param rows: all rows of the directory.
        """
        entries = self._live_entries(rows)
        chosen = set()
        for key, row in rows.items():
            if not key.startswith(AGENT_PREFIX):
                continue
            try:
                agent = msgspec.json.decode(row.content, type=AgentRow)
            except (ValueError, RecursionError) as error:
                self._events.emit(Event.ROW_IGNORED, key=key, reason=str(error))
                continue
            ranked = rank_by_rendezvous(str(agent.address), entries)
            if self._name in ranked[:ENTRIES_PER_AGENT]:
                chosen.add(agent.address)
        return chosen

    def _live_entries(self, rows: Mapping[str, Row]) -> set[str]:
        now = self._clock()
        names = {self._name}
        for key, row in rows.items():
            if not key.startswith(ENTRY_PREFIX):
                continue
            version, seen_at = self._seen.get(key, (0, now))
            if row.version != version:
                self._seen[key] = (row.version, now)
                seen_at = now
            if now - seen_at < STALE_S:
                names.add(key.removeprefix(ENTRY_PREFIX))
        return names


class RowWatcher:
    """Keeps a copy of the rows under a prefix of a table.

    :param on_rows: called with all rows once they are read and after each change.
    """

    def __init__(
        self,
        table: FeedTable,
        prefix: str,
        on_rows: Callable[[dict[str, Row]], None],
        events: EventLog,
    ) -> None:
        self.available = False
        self._table = table
        self._prefix = prefix
        self._on_rows = on_rows
        self._events = events
        self._rows: dict[str, Row] = {}
        self._version: int | None = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        backoff = Backoff(FIRST_RETRY_S)
        while True:
            try:
                await self._follow()
            except HistoryLost:
                self._events.emit(Event.CHANGE_FEED_RESET, prefix=self._prefix)
                self._version = None
            except TableUnavailable as error:
                self._note_available(available=False, reason=str(error))
                await backoff.wait(LONGEST_RETRY_S)
                continue
            self._note_available(available=True)
            backoff.reset()

    async def _follow(self) -> None:
        if self._version is None:
            snapshot = await self._table.read_snapshot(self._prefix)
            self._rows = {row.key: row for row in snapshot.rows}
            self._version = snapshot.version
            self._on_rows(self._rows)
            return
        changes = await self._table.wait_for_changes(self._version, FEED_WAIT_S)
        self._version = max(self._version, changes.version)
        written = [row for row in changes.rows if row.key.startswith(self._prefix)]
        removed = [row for row in changes.deleted if row.key in self._rows]
        self._rows.update((row.key, row) for row in written)
        for row in removed:
            del self._rows[row.key]
        if written or removed:
            self._on_rows(self._rows)

    def _note_available(self, *, available: bool, reason: str = '') -> None:
        if available == self.available:
            return
        self.available = available
        event = Event.TABLE_AVAILABLE if available else Event.TABLE_UNAVAILABLE
        self._events.emit(event, prefix=self._prefix, reason=reason)
