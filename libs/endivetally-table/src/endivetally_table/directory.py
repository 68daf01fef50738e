"""Reads and changes the shard map; each change is one conditional transaction.

Every change here, including one that ends an entry, writes the map and requires the
version of the map that it was computed from. The changes are therefore totally
ordered, and none assigns shards to an entry that has already ended. When the
response to a change is lost, the next attempt reads the rows again and does nothing
if they already are in the desired state.
"""

import asyncio
import random
import time
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

import msgspec
from endivetally_core.errors import MalformedMessage
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_core.joining import EntryIdentity

from endivetally_table.batches import delete_journal
from endivetally_table.entries import decode_entry
from endivetally_table.entries import entry_key
from endivetally_table.entries import entry_put
from endivetally_table.entries import live_condition
from endivetally_table.entries import scan_entries
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
LOST_RESPONSE_ATTEMPTS: Final = 3
# Seconds added to the maximum random delay by each conflict.
BACKOFF_S: Final = 0.005

_decoder = msgspec.msgpack.Decoder(ShardMap)


@dataclass(frozen=True, slots=True)
class TakeoverOutcome:
    """Result of a takeover.

    :param won: whether the successor fenced the dead entry.
    :param fenced_by: incarnation that fenced it; empty when it had retired.
    :param inherited_shards: shards of the dead entry that the successor owns now; it
        recovers their requests whether it won or not.
    :param shard_map: the map after the takeover.
    """

    won: bool
    fenced_by: str
    inherited_shards: tuple[int, ...]
    shard_map: ShardMap


class ShardDirectory:
    """Reads and changes the shard map.

    :param table: the platform's table service.
    :param retention_s: seconds for which former owners are kept.
    :param clock: returns the wall time in seconds since the epoch.
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
        self._newest_map = ShardMap()

    @property
    def shard_map(self) -> ShardMap:
        """The newest map that this object has read or written."""
        return self._newest_map

    def owner_of(self, shard: int) -> str:
        """Return the owner of a shard according to `shard_map`."""
        return self._newest_map.owners[shard]

    async def refresh(self) -> ShardMap:
        """Read the map from the table and return the newest map seen so far.

        :raises TableUnavailable: when the service does not respond.
        """
        row = await self._table.read(SHARDS_KEY)
        if row is not None:
            self._keep_newest(_decoder.decode(row.content))
        return self._newest_map

    async def join(self, identity: EntryIdentity) -> ShardMap:
        """Assign the shards without a live owner to an entry.

        Live owners keep their shards until they call `release_shards`.

        :raises IncarnationFenced: the entry has ended or was never registered.
        :raises TableUnavailable: call again; the change may have been applied.
        """
        return await self._execute(JoinPlan(identity.incarnation))

    async def release_shards(
        self, identity: EntryIdentity, shards: Collection[int], to: str
    ) -> ShardMap:
        """Move shards to another live entry.

        Before the call, the owner must stop accepting requests for their keys and
        flush its journal, so that the new owner finds every request for them in
        that journal. Nothing is moved when the receiver is not live.

        :param to: incarnation that receives the shards.
        :raises IncarnationFenced: the entry has ended.
        :raises TableUnavailable: call again; the change may have been applied.
        """
        plan = ReleasePlan(identity.incarnation, frozenset(shards), to)
        return await self._execute(plan)

    async def leave(
        self, identity: EntryIdentity, candidates: Collection[str] | None = None
    ) -> ShardMap:
        """Retire an entry and move its shards to live entries, in one transaction.

        Its journal accepts no more writes from then on, so no new request starts.

        :param candidates: incarnations that may receive shards; ``None`` for all.
        :raises IncarnationFenced: another entry has taken over.
        :raises TableUnavailable: call again; the change may have been applied.
        """
        return await self._execute(LeavePlan(identity, candidates))

    async def take_over(
        self,
        dead: str,
        successor: EntryIdentity,
        candidates: Collection[str] | None = None,
    ) -> TakeoverOutcome:
        """Fence an entry and move its shards to live entries, in one transaction.

        :param dead: incarnation that is presumed dead.
        :param successor: entry that makes the change.
        :param candidates: incarnations that may receive shards; ``None`` for all.
        :raises IncarnationFenced: the successor itself has ended.
        :raises TableUnavailable: call again; the change may have been applied.
        """
        incarnation = successor.incarnation
        shard_map = await self._execute(TakeoverPlan(dead, incarnation, candidates))
        fenced_by = await self._read_fenced_by(dead)
        return TakeoverOutcome(
            won=fenced_by == incarnation,
            fenced_by=fenced_by,
            inherited_shards=shard_map.shards_inherited_from(dead, incarnation),
            shard_map=shard_map,
        )

    async def delete_expired_entries(self) -> int:
        """Delete rows and journals of ended entries that no shard refers to.

        :return: number of entries deleted.
        :raises TableUnavailable: when the service does not respond; call again.
        """
        view = await self._read_view()
        expired = view.find_expired_entries()
        for incarnation in expired:
            await delete_journal(self._table, incarnation)
            deletion = Put(entry_key(incarnation), None)
            await self._table.commit(Transaction((), (deletion,)))
        return len(expired)

    async def _execute(self, plan: DirectoryPlan) -> ShardMap:
        lost_responses = 0
        for attempt in range(CONFLICT_ATTEMPTS):
            view = await self._read_view()
            try:
                return await self._try_change(view, plan)
            except TableConflict:
                await asyncio.sleep(random.uniform(0, BACKOFF_S * (attempt + 1)))
            except TableUnavailable:
                lost_responses += 1
                if lost_responses == LOST_RESPONSE_ATTEMPTS:
                    raise
        raise TableUnavailable(SHARDS_KEY)

    async def _try_change(self, view: DirectoryView, plan: DirectoryPlan) -> ShardMap:
        change = plan.plan_change(view)
        if change is None:
            return self._keep_newest(view.shard_map)
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
        shard_map = view.shard_map.with_moves(
            change.moves, now=self._clock(), retention_s=self._retention_s
        )
        conditions = (
            Condition(SHARDS_KEY, view.map_version),
            *(live_condition(incarnation) for incarnation in change.required_live),
        )
        puts = [Put(SHARDS_KEY, msgspec.msgpack.encode(shard_map))]
        if change.ended_entry is not None:
            puts.append(entry_put(change.ended_entry))
        await self._table.commit(Transaction(conditions, tuple(puts)))
        return self._keep_newest(shard_map)

    async def _read_fenced_by(self, dead: str) -> str:
        row = await self._table.read(entry_key(dead))
        try:
            return '' if row is None else decode_entry(row).fenced_by
        except MalformedMessage:
            return ''

    def _keep_newest(self, shard_map: ShardMap) -> ShardMap:
        if shard_map.version > self._newest_map.version:
            self._newest_map = shard_map
        return self._newest_map
