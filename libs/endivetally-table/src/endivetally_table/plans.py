"""Changes of the shard map and the entries' rows, one plan class for each kind."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Collection
from dataclasses import dataclass

from endivetally_core.errors import IncarnationFenced
from endivetally_core.joining import EntryIdentity

from endivetally_table.entries import EntryRow
from endivetally_table.shards import ShardMap
from endivetally_table.shards import ShardMove
from endivetally_table.shards import assign_shards


@dataclass(frozen=True, slots=True)
class DirectoryView:
    """The shard map and the entries' rows; the map is read first.

    :param map_version: version of the map's row; 0 when it does not exist.
    :param entries: entries' rows by incarnation.
    """

    shard_map: ShardMap
    map_version: int
    entries: dict[str, EntryRow]

    def is_live(self, incarnation: str) -> bool:
        """Return whether an entry may change the shard map and own shards."""
        row = self.entries.get(incarnation)
        return row is not None and row.state == 'live'

    def require_live(self, incarnation: str) -> None:
        """Check that an entry is live.

        :raises IncarnationFenced: when the entry has ended or was never registered.
        """
        if not self.is_live(incarnation):
            raise IncarnationFenced(incarnation)

    def find_expired_entries(self) -> tuple[str, ...]:
        """Return the ended entries that neither own nor formerly owned a shard.

        The shard map drops a former owner after the retention; until then its
        journal is part of the history of the shards that it lost.
        """
        kept = {former.incarnation for former in self.shard_map.former}
        kept.update(self.shard_map.owners)
        return tuple(
            name for name in self.entries if name not in kept and not self.is_live(name)
        )

    def plan_evacuation(
        self, incarnation: str, candidates: Collection[str] | None
    ) -> tuple[ShardMove, ...]:
        """Return the moves of all shards of an entry to other live entries.

        :param candidates: incarnations that may receive shards; ``None`` for all.
        """
        live_candidates = [
            name
            for name in self.entries
            if self.is_live(name) and (candidates is None or name in candidates)
        ]
        others = [name for name in live_candidates if name != incarnation]
        return assign_shards(self.shard_map.shards_of(incarnation), others)


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """A change of the shard map, applied in one transaction.

    :param required_live: incarnations that must be live for the change to apply.
    :param ended_entry: new row of the entry that the change retires or fences.
    """

    moves: tuple[ShardMove, ...]
    required_live: tuple[str, ...]
    ended_entry: EntryRow | None = None


class DirectoryPlan(ABC):
    """Computes a change from the rows as read.

    After a conflict or a lost response it is computed again from fresh rows.
    """

    @abstractmethod
    def plan_change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or ``None`` when nothing has to change.

        :raises IncarnationFenced: when the entry that makes the change has ended.
        """


@dataclass(frozen=True, slots=True)
class JoinPlan(DirectoryPlan):
    """Assigns the shards without a live owner to an entry."""

    incarnation: str

    def plan_change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or ``None`` when every shard has a live owner."""
        view.require_live(self.incarnation)
        orphaned_shards = tuple(
            shard
            for shard, owner in enumerate(view.shard_map.owners)
            if not view.is_live(owner)
        )
        if not orphaned_shards:
            return None
        move = ShardMove(self.incarnation, orphaned_shards)
        return DirectoryChange((move,), (self.incarnation,))


@dataclass(frozen=True, slots=True)
class ReleasePlan(DirectoryPlan):
    """Moves shards of an entry to another live entry.

    Shards that the entry does not own are left as they are.

    :param incarnation: entry that gives the shards away.
    :param to: entry that receives them.
    """

    incarnation: str
    shards: frozenset[int]
    to: str

    def plan_change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or ``None`` when no shard can move."""
        view.require_live(self.incarnation)
        movable = self.shards.intersection(view.shard_map.shards_of(self.incarnation))
        if not movable or not view.is_live(self.to):
            return None
        move = ShardMove(self.to, tuple(sorted(movable)))
        return DirectoryChange((move,), (self.incarnation, self.to))


@dataclass(frozen=True, slots=True)
class LeavePlan(DirectoryPlan):
    """Retires an entry and moves its shards to live entries.

    :param candidates: incarnations that may receive shards; ``None`` for all.
    """

    identity: EntryIdentity
    candidates: Collection[str] | None

    def plan_change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or ``None`` when the entry has already retired."""
        incarnation = self.identity.incarnation
        row = view.entries.get(incarnation)
        if row is not None and row.state == 'retired':
            return None
        view.require_live(incarnation)
        moves = view.plan_evacuation(incarnation, self.candidates)
        retired = EntryRow(self.identity, 'retired')
        return DirectoryChange(moves, (incarnation,), retired)


@dataclass(frozen=True, slots=True)
class TakeoverPlan(DirectoryPlan):
    """Fences a dead entry and moves its shards to live entries.

    :param dead: incarnation to fence.
    :param successor: entry that makes the change.
    :param candidates: incarnations that may receive shards; ``None`` for all.
    """

    dead: str
    successor: str
    candidates: Collection[str] | None

    def plan_change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or ``None`` when the dead entry has already ended."""
        view.require_live(self.successor)
        if not view.is_live(self.dead):
            return None
        moves = view.plan_evacuation(self.dead, self.candidates)
        row = view.entries[self.dead]
        fenced = EntryRow(row.identity, 'fenced', self.successor)
        return DirectoryChange(moves, (self.dead, self.successor), fenced)
