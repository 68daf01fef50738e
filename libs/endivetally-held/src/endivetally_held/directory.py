"""Where agents are found: rows of the platform's table.

Each agent writes one row under its address. Entries read all of them once, then
follow the changes. A row is a hint where to dial; who answers there introduces
itself. Rows that nobody answers for are removed by an entry.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_core.joining import Address
from endivetally_table.feed import FeedTable
from endivetally_table.feed import HistoryLost
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Transaction

AGENT_PREFIX: Final = 'agents/'
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


class Backoff:
    """Delays of repeated calls, doubling up to a limit."""

    def __init__(self) -> None:
        self._delay_s = FIRST_RETRY_S

    def reset(self) -> None:
        """Begin again with the first delay."""
        self._delay_s = FIRST_RETRY_S

    async def wait(self) -> None:
        """Sleep for the next delay."""
        await asyncio.sleep(self._delay_s)
        self._delay_s = min(self._delay_s * 2, LONGEST_RETRY_S)


async def announce_agent(table: FeedTable, row: AgentRow, events: EventLog) -> None:
    """Write the row of an agent, and repeat it until the table answers."""
    key = f'{AGENT_PREFIX}{row.address}'
    backoff = Backoff()
    put = Put(key, msgspec.json.encode(row))
    while True:
        try:
            await table.commit(Transaction((), (put,)))
        except (TableUnavailable, TableConflict) as error:
            events.emit(Event.TABLE_LOST, call='announce', reason=str(error))
            await backoff.wait()
            continue
        events.emit(Event.ROW_WRITTEN, key=key)
        return


class RowFollower:
    """Keeps a copy of the rows under a prefix of a table.

    :param on_rows: called with all rows after each change, newest first read.
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
        backoff = Backoff()
        while True:
            try:
                await self._follow()
            except HistoryLost:
                self._events.emit(Event.HISTORY_LOST, prefix=self._prefix)
                self._version = None
            except TableUnavailable as error:
                self._note_available(available=False, reason=str(error))
                await backoff.wait()
                continue
            self._note_available(available=True)
            backoff.reset()

    async def _follow(self) -> None:
        if self._version is None:
            snapshot = await self._table.snapshot(self._prefix)
            self._rows = {row.key: row for row in snapshot.rows}
            self._version = snapshot.version
            self._on_rows(self._rows)
            return
        changes = await self._table.changes(self._version, FEED_WAIT_S)
        self._version = max(self._version, changes.version)
        relevant = [row for row in changes.rows if row.key.startswith(self._prefix)]
        relevant.extend(
            row for row in changes.deleted if row.key.startswith(self._prefix)
        )
        for row in changes.rows:
            self._rows[row.key] = row
        for gone in changes.deleted:
            self._rows.pop(gone.key, None)
        if relevant:
            self._on_rows(self._rows)

    def _note_available(self, *, available: bool, reason: str = '') -> None:
        if available == self.available:
            return
        self.available = available
        event = Event.TABLE_REGAINED if available else Event.TABLE_LOST
        self._events.emit(event, prefix=self._prefix, reason=reason)


async def remove_row(table: FeedTable, row: Row, events: EventLog) -> None:
    """Remove a row that nobody answers for, unless it was written anew."""
    transaction = Transaction((Condition(row.key, row.version),), (Put(row.key, None),))
    try:
        await table.commit(transaction)
    except (TableUnavailable, TableConflict) as error:
        events.emit(Event.ROW_IGNORED, key=row.key, reason=f'not removed: {error}')
        return
    events.emit(Event.ROW_REMOVED, key=row.key)
