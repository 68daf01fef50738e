"""What each kind of change does to the shard map and the entries' rows."""

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
    """The shard map and the entries, read in this order.

    :param map_version: version of the map's row; 0 when there is none.
    :param entries: rows by incarnation.
    """

    shard_map: ShardMap
    map_version: int
    entries: dict[str, EntryRow]

    def is_live(self, incarnation: str) -> bool:
        """Return whether an entry may act and own shards."""
        row = self.entries.get(incarnation)
        return row is not None and row.state == 'live'

    def require_live(self, incarnation: str) -> None:
        """Check that an entry is live.

        :raises IncarnationFenced: when it has ended or never registered.
        """
        if not self.is_live(incarnation):
            raise IncarnationFenced(incarnation)

    def expired(self) -> tuple[str, ...]:
        """Return the ended entries that own no shard and are no one's history."""
        kept = {former.incarnation for former in self.shard_map.former}
        kept.update(self.shard_map.owners)
        return tuple(
            name for name in self.entries if name not in kept and not self.is_live(name)
        )

    def moves_away(
        self, incarnation: str, among: Collection[str] | None
    ) -> tuple[ShardMove, ...]:
        """Return the moves of all shards of an entry to other live ones.

        :param among: incarnations that may receive shards; all by default.
        """
        receivers = [
            name
            for name in self.entries
            if self.is_live(name) and (among is None or name in among)
        ]
        others = [name for name in receivers if name != incarnation]
        return assign_shards(self.shard_map.shards_of(incarnation), others)


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """Content of one transaction.

    :param while_live: incarnations that must be live.
    :param ended: row of an entry that ends with the change.
    """

    moves: tuple[ShardMove, ...]
    while_live: tuple[str, ...]
    ended: EntryRow | None = None


class DirectoryPlan(ABC):
    """Decides on the rows as read; asked again after a conflict."""

    @abstractmethod
    def change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or nothing when the rows are as wanted.

        :raises IncarnationFenced: when the acting entry has ended.
        """


@dataclass(frozen=True, slots=True)
class JoinPlan(DirectoryPlan):
    """Take the shards that have no live owner."""

    incarnation: str

    def change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or nothing when every shard has a live owner."""
        view.require_live(self.incarnation)
        orphans = tuple(
            shard
            for shard, owner in enumerate(view.shard_map.owners)
            if not view.is_live(owner)
        )
        if not orphans:
            return None
        move = ShardMove(self.incarnation, orphans)
        return DirectoryChange((move,), (self.incarnation,))


@dataclass(frozen=True, slots=True)
class ReleasePlan(DirectoryPlan):
    """Hand shards of the acting entry to another live one."""

    incarnation: str
    shards: frozenset[int]
    to: str

    def change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or nothing when no shard can move."""
        view.require_live(self.incarnation)
        owned = self.shards.intersection(view.shard_map.shards_of(self.incarnation))
        if not owned or not view.is_live(self.to):
            return None
        move = ShardMove(self.to, tuple(sorted(owned)))
        return DirectoryChange((move,), (self.incarnation, self.to))


@dataclass(frozen=True, slots=True)
class LeavePlan(DirectoryPlan):
    """Retire the acting entry and move its shards away."""

    identity: EntryIdentity
    among: Collection[str] | None

    def change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or nothing when the entry has retired."""
        incarnation = self.identity.incarnation
        row = view.entries.get(incarnation)
        if row is not None and row.state == 'retired':
            return None
        view.require_live(incarnation)
        moves = view.moves_away(incarnation, self.among)
        retired = EntryRow(self.identity, 'retired')
        return DirectoryChange(moves, (incarnation,), retired)


@dataclass(frozen=True, slots=True)
class TakeoverPlan(DirectoryPlan):
    """Fence a dead entry and move its shards to live ones."""

    dead: str
    successor: str
    among: Collection[str] | None

    def change(self, view: DirectoryView) -> DirectoryChange | None:
        """Return the change, or nothing when the dead entry has ended."""
        view.require_live(self.successor)
        if not view.is_live(self.dead):
            return None
        moves = view.moves_away(self.dead, self.among)
        row = view.entries[self.dead]
        fenced = EntryRow(row.identity, 'fenced', self.successor)
        return DirectoryChange(moves, (self.dead, self.successor), fenced)
