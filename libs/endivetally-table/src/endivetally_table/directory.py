"""Changes of the shard map, each one conditional transaction.

Every change that ends an entry also rewrites the shard map, and every change is
conditional on the map's version: so the changes are in one order, and a change
never gives shards to an entry that has ended before it. A change whose answer
was lost is read back by its goal: the next attempt reads the rows anew and does
nothing when they are as wanted.
"""

import asyncio
import random
import time
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

import msgspec
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import EntryIdentity

from endivetally_table.batches import delete_journal
from endivetally_table.entries import decode_entry
from endivetally_table.entries import entry_key
from endivetally_table.entries import entry_put
from endivetally_table.entries import scan_entries
from endivetally_table.entries import while_live
from endivetally_table.plans import DirectoryChange
from endivetally_table.plans import DirectoryPlan
from endivetally_table.plans import DirectoryView
from endivetally_table.plans import JoinPlan
from endivetally_table.plans import LeavePlan
from endivetally_table.plans import ReleasePlan
from endivetally_table.plans import TakeoverPlan
from endivetally_table.shards import SHARDS_KEY
from endivetally_table.shards import ShardMap
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Table
from endivetally_table.table import Transaction

CONFLICT_ATTEMPTS: Final = 32
LOST_ANSWER_ATTEMPTS: Final = 3
BACKOFF_S: Final = 0.005

_decoder = msgspec.msgpack.Decoder(ShardMap)


@dataclass(frozen=True, slots=True)
class TakeoverOutcome:
    """What became of a takeover.

    :param won: the successor fenced the dead entry.
    :param fenced_by: the entry that did; empty when it had retired.
    :param gained: shards of the dead entry that the successor owns now; it
        recovers these, whether it won or not.
    """

    won: bool
    fenced_by: str
    gained: tuple[int, ...]
    shard_map: ShardMap


class ShardDirectory:
    """Reads and changes the shard map.

    :param table: the platform's table service.
    :param retention_s: how long former owners are kept.
    :param clock: returns the wall time.
    """

    def __init__(
        self,
        table: Table,
        *,
        retention_s: float,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._table = table
        self._retention_s = retention_s
        self._clock = clock
        self._known = ShardMap()

    @property
    def shard_map(self) -> ShardMap:
        """The newest map that was read or written here."""
        return self._known

    def owner_of(self, shard: int) -> str:
        """Return the owner of a shard in the newest map known here."""
        return self._known.owners[shard]

    async def refresh(self) -> ShardMap:
        """Read the map.

        :raises TableUnavailable: when the service does not answer.
        """
        row = await self._table.read(SHARDS_KEY)
        if row is not None:
            self._learn(_decoder.decode(row.content))
        return self._known

    async def join(self, identity: EntryIdentity) -> ShardMap:
        """Take the shards that have no live owner; live owners release theirs.

        :raises IncarnationFenced: the entry has ended or never registered.
        :raises TableUnavailable: call again; it may have taken effect.
        """
        return await self._carry_out(JoinPlan(identity.incarnation))

    async def release_shards(
        self, identity: EntryIdentity, shards: Collection[int], to: str
    ) -> ShardMap:
        """Hand shards over to another live entry.

        The owner first stops admitting their keys and flushes its journal, so
        that the new owner finds every request of them in that journal. Nothing
        is moved when the receiver is not live.

        :raises IncarnationFenced: the entry has ended.
        :raises TableUnavailable: call again; it may have taken effect.
        """
        plan = ReleasePlan(identity.incarnation, frozenset(shards), to)
        return await self._carry_out(plan)

    async def leave(
        self, identity: EntryIdentity, among: Collection[str] | None = None
    ) -> ShardMap:
        """Retire an entry and move its shards to live ones, in one step.

        Its journal is closed from then on, so it admits nothing more.

        :param among: incarnations that may receive shards; all by default.
        :raises IncarnationFenced: another entry has taken over.
        :raises TableUnavailable: call again; it may have taken effect.
        """
        return await self._carry_out(LeavePlan(identity, among))

    async def take_over(
        self,
        dead: str,
        successor: EntryIdentity,
        among: Collection[str] | None = None,
    ) -> TakeoverOutcome:
        """Fence an entry and move its shards to live ones, in one step.

        :param dead: incarnation that is suspected.
        :param among: incarnations that may receive shards; all by default.
        :raises IncarnationFenced: the successor itself has ended.
        :raises TableUnavailable: call again; it may have taken effect.
        """
        incarnation = successor.incarnation
        shard_map = await self._carry_out(TakeoverPlan(dead, incarnation, among))
        fenced_by = await self._fenced_by(dead)
        return TakeoverOutcome(
            won=fenced_by == incarnation,
            fenced_by=fenced_by,
            gained=shard_map.shards_inherited_from(dead, incarnation),
            shard_map=shard_map,
        )

    async def delete_expired_entries(self) -> int:
        """Delete rows and journals of ended entries that are no one's history.

        :return: number of entries deleted.
        :raises TableUnavailable: when the service does not answer; call again.
        """
        view = await self._read_view()
        expired = view.expired()
        for incarnation in expired:
            await delete_journal(self._table, incarnation)
            deletion = Put(entry_key(incarnation), None)
            await self._table.commit(Transaction((), (deletion,)))
        return len(expired)

    async def _carry_out(self, plan: DirectoryPlan) -> ShardMap:
        lost_answers = 0
        for attempt in range(CONFLICT_ATTEMPTS):
            view = await self._read_view()
            try:
                return await self._apply(view, plan)
            except TableConflict:
                await asyncio.sleep(random.uniform(0, BACKOFF_S * (attempt + 1)))
            except TableUnavailable:
                lost_answers += 1
                if lost_answers == LOST_ANSWER_ATTEMPTS:
                    raise
        raise TableUnavailable(SHARDS_KEY)

    async def _apply(self, view: DirectoryView, plan: DirectoryPlan) -> ShardMap:
        change = plan.change(view)
        if change is None:
            return self._learn(view.shard_map)
        return await self._commit(view, change)

    async def _read_view(self) -> DirectoryView:
        map_row = await self._table.read(SHARDS_KEY)
        rows = await scan_entries(self._table)
        return DirectoryView(
            _decoder.decode(map_row.content) if map_row else ShardMap(),
            map_row.version if map_row else 0,
            {row.identity.incarnation: row for row in rows},
        )

    async def _commit(self, view: DirectoryView, change: DirectoryChange) -> ShardMap:
        shard_map = view.shard_map.moved(
            change.moves, now=self._clock(), retention_s=self._retention_s
        )
        conditions = (
            Condition(SHARDS_KEY, view.map_version),
            *(while_live(incarnation) for incarnation in change.while_live),
        )
        puts = [Put(SHARDS_KEY, msgspec.msgpack.encode(shard_map))]
        if change.ended is not None:
            puts.append(entry_put(change.ended))
        await self._table.commit(Transaction(conditions, tuple(puts)))
        return self._learn(shard_map)

    async def _fenced_by(self, dead: str) -> str:
        row = await self._table.read(entry_key(dead))
        return '' if row is None else decode_entry(row).fenced_by

    def _learn(self, shard_map: ShardMap) -> ShardMap:
        if shard_map.version > self._known.version:
            self._known = shard_map
        return self._known
