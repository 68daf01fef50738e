"""Emptied data centres: which they are, from whom that is known, and how old it is.

A row ``evacuate/DATA_CENTRE`` of the operators' table requests that no more tasks are
sent to the targets of a data centre. Entries follow these rows and inform their agents;
both enforce them. Sets of emptied data centres are ordered by the store's version.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import Final

import msgspec
from endivetally_core.clock import monotonic_now
from endivetally_core.errors import TableUnavailable
from endivetally_core.events import Event
from endivetally_core.events import EventLog
from endivetally_table.feed import FeedTable
from endivetally_table.table import Row

from endivetally_held.channel import Channel
from endivetally_held.messages import Evacuations

EVACUATION_PREFIX: Final = 'evacuate/'
# Longest name that a data centre can have in the messages of entries and agents.
LONGEST_NAME: Final = 128
# Largest version that a message can hold.
MAX_VERSION: Final = 2**63 - 1
# Time between the starts of two reads of an agent whose entries don't reach the store.
OWN_READ_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class EvacuationSet:
    """The emptied data centres at one version of the store.

    :param version: negative before the first read.
    """

    version: int = -1
    data_centres: frozenset[str] = frozenset()


class EntryEvacuations:
    """The emptied data centres as an entry reads them, which it tells its agents.

    :ivar reaches_store: whether the last call to the store was answered.
    """

    def __init__(
        self, events: EventLog, clock: Callable[[], float] = monotonic_now
    ) -> None:
        self.current = EvacuationSet()
        self.reaches_store = False
        self._events = events
        self._clock = clock
        self._within_s: float | None = None
        self._list_known: Callable[[], Collection[str]] = frozenset
        self._rows: dict[str, Row] = {}
        self._applied_at: dict[str, float] = {}
        self._confirmed_at = clock()
        self._channels: set[Channel] = set()

    @property
    def message(self) -> Evacuations | None:
        """The message to agents; ``None`` while evacuations are not enabled."""
        if self._within_s is None:
            return None
        return Evacuations(
            max(self.current.version, 0),
            sorted(self.current.data_centres),
            self.reaches_store,
        )

    @property
    def age_s(self) -> float:
        """Seconds since the store has confirmed the set."""
        return self._clock() - self._confirmed_at

    def enable(
        self, within_s: float, list_known: Callable[[], Collection[str]]
    ) -> None:
        """Let the entry follow evacuations.

        :param within_s: seconds within which an evacuation must be in force.
        :param list_known: returns the known data centres; none while no agent is known.
        """
        self._within_s = within_s
        self._list_known = list_known

    def list_states(self) -> dict[str, bool]:
        """Return whether each known or emptied data centre is emptied."""
        emptied = self.current.data_centres
        return {name: name in emptied for name in emptied.union(self._list_known())}

    def add_channel(self, channel: Channel) -> None:
        """Send the set to a new agent, and each later one."""
        self._channels.add(channel)
        self._post(channel)

    def remove_channel(self, channel: Channel) -> None:
        """Send nothing more to an agent."""
        self._channels.discard(channel)

    def apply_rows(self, rows: Mapping[str, Row], version: int) -> None:
        """Apply the rows of the operators' table, and log what has changed.

        The set is sent even if it is the same. An agent may have a set that differs,
        from another entry, of a version that this entry has not seen.

        :param version: version of the store at which the rows are complete.
        """
        former = self._rows
        self._rows = {
            key.removeprefix(EVACUATION_PREFIX): row
            for key, row in rows.items()
            if key.startswith(EVACUATION_PREFIX)
        }
        self.current = EvacuationSet(
            min(max(version, 0), MAX_VERSION), frozenset(filter(_is_name, self._rows))
        )
        for name in sorted(former.keys() | self._rows.keys()):
            if former.get(name) != self._rows.get(name):
                self._report_change(name, former.get(name), self._rows.get(name))
        self._announce()

    def record_contact(self, version: int | None, *, available: bool) -> None:
        """Record whether the store has answered, and tell the agents about a change.

        :param version: version at which the rows are the same as when they were
            applied; ``None`` if the rows have to be read again.
        """
        if available and version is not None:
            self._confirmed_at = self._clock()
            known = EvacuationSet(
                min(max(version, 0), MAX_VERSION), self.current.data_centres
            )
            self.current = known
        if available is not self.reaches_store:
            self.reaches_store = available
            self._announce()

    def _announce(self) -> None:
        for channel in self._channels:
            self._post(channel)

    def _post(self, channel: Channel) -> None:
        message = self.message
        if message is not None:
            channel.post(message)

    def _report_change(self, name: str, before: Row | None, after: Row | None) -> None:
        if not _is_name(name):
            self._events.emit(
                Event.ROW_IGNORED,
                key=f'{EVACUATION_PREFIX}{name}',
                reason='the key names no data centre',
            )
            return
        self._events.emit(
            Event.EVACUATION_APPLIED,
            data_centre=name,
            in_force=after is not None,
            version=self.current.version,
            remarks=self._find_remarks(name, before, after),
        )
        if after is None:
            self._applied_at.pop(name, None)
        else:
            self._applied_at.setdefault(name, self._clock())

    def _find_remarks(
        self, name: str, before: Row | None, after: Row | None
    ) -> list[str]:
        known = self._list_known()
        in_force_s = self._clock() - self._applied_at.get(name, self._clock())
        remarks = {
            'repeated': before is not None and after is not None,
            'malformed_value': after is not None and not _is_object(after.content),
            'unknown_data_centre': bool(known) and name not in known,
            'withdrawn_early': after is None and in_force_s < (self._within_s or 0),
        }
        return [remark for remark, applies in remarks.items() if applies]


class AgentEvacuation:
    """Whether the data centre of an agent is emptied.

    :param on_change: called when that has changed.
    :ivar store_needed: set while the agent has to read the rows itself, as no connected
        entry reaches the store, or as entries contradict each other.
    """

    def __init__(
        self, data_centre: str, events: EventLog, on_change: Callable[[], None]
    ) -> None:
        self.data_centre = data_centre
        self.current = EvacuationSet()
        self.store_needed = asyncio.Event()
        self.store_needed.set()
        self._events = events
        self._on_change = on_change
        self._reaching: set[Hashable] = set()
        self._disputed = False
        self._read_from_store = False

    @property
    def in_force(self) -> bool:
        """Whether no run may start here."""
        return self.data_centre in self.current.data_centres

    def list_states(self) -> dict[str, bool]:
        """Return whether the data centre of the agent is emptied."""
        return {self.data_centre: self.in_force}

    def handle_message(self, entry: Hashable, message: Evacuations) -> None:
        """Apply what a connected entry knows."""
        if message.reaches_store:
            self._reaching.add(entry)
        else:
            self._reaching.discard(entry)
        self._update_need()
        known = EvacuationSet(message.version, frozenset(message.data_centres))
        if known.version == self.current.version:
            self._compare(known)
        elif known.version > self.current.version:
            self._apply(known, 'entry')

    def remove_entry(self, entry: Hashable) -> None:
        """Forget an entry that is no longer connected; the set stays."""
        self._reaching.discard(entry)
        self._update_need()

    def apply_from_store(self, evacuations: EvacuationSet) -> None:
        """Apply what the agent has read itself, unless a newer set is known."""
        if evacuations.version >= self.current.version:
            self._apply(evacuations, 'store')

    def _compare(self, other: EvacuationSet) -> None:
        """Take the data centre for emptied if two entries differ about it.

        Sets of one version can't both be right; the store is asked.
        """
        settled = self._read_from_store or self._disputed
        emptied = self.data_centre in other.data_centres
        if settled or emptied is self.in_force:
            return
        self._events.emit(
            Event.EVACUATION_DISPUTED,
            data_centre=self.data_centre,
            version=other.version,
        )
        if emptied:
            self._apply(other, 'entry')
        self._disputed = True
        self._update_need()

    def _apply(self, evacuations: EvacuationSet, source: str) -> None:
        self._read_from_store = source == 'store'
        self._disputed = False
        self._update_need()
        was_in_force = self.in_force
        self.current = evacuations
        if self.in_force is was_in_force:
            return
        self._events.emit(
            Event.EVACUATION_APPLIED,
            data_centre=self.data_centre,
            in_force=self.in_force,
            version=evacuations.version,
            source=source,
        )
        self._on_change()

    def _update_need(self) -> None:
        if self._reaching and not self._disputed:
            self.store_needed.clear()
        else:
            self.store_needed.set()


class EvacuationReader:
    """Reads the rows for an agent while its entries can't tell what they are.

    :param table: the operators' table.
    """

    def __init__(
        self, table: FeedTable, evacuation: AgentEvacuation, events: EventLog
    ) -> None:
        self._table = table
        self._evacuation = evacuation
        self._events = events
        self._failed = False

    async def run(self) -> None:
        """Read once a second while it is necessary, until cancelled."""
        while True:
            await self._evacuation.store_needed.wait()
            await asyncio.gather(self.read(), asyncio.sleep(OWN_READ_INTERVAL_S))

    async def read(self) -> None:
        """Read the rows once; a failure changes nothing."""
        try:
            snapshot = await self._table.read_snapshot(EVACUATION_PREFIX)
        except TableUnavailable as error:
            self._report(failed=True, reason=str(error))
            return
        self._report(failed=False)
        names = [row.key.removeprefix(EVACUATION_PREFIX) for row in snapshot.rows]
        version = min(max(snapshot.version, 0), MAX_VERSION)
        self._evacuation.apply_from_store(EvacuationSet(version, frozenset(names)))

    def _report(self, *, failed: bool, reason: str = '') -> None:
        if failed is self._failed:
            return
        self._failed = failed
        event = Event.TABLE_UNAVAILABLE if failed else Event.TABLE_AVAILABLE
        self._events.emit(event, prefix=EVACUATION_PREFIX, reason=reason)


def _is_name(name: str) -> bool:
    return 0 < len(name) <= LONGEST_NAME


def _is_object(content: bytes) -> bool:
    try:
        msgspec.json.decode(content, type=dict[str, Any])
    except (ValueError, RecursionError):
        return False
    return True
