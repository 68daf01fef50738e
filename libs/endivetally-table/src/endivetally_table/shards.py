"""Which entry owns which shard of the keys, and who owned it before."""

from collections.abc import Collection
from collections.abc import Mapping
from typing import Final

import msgspec
from endivetally_core.identifiers import rank_by_rendezvous

SHARD_COUNT: Final = 64
SHARDS_KEY: Final = 'shards'
UNOWNED: Final = ''
CLOCK_SKEW_S: Final = 60


class FormerOwner(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation that lost shards; its journal is their history.

    :param lost_at: wall time in seconds since the epoch.
    """

    incarnation: str
    shards: tuple[int, ...]
    lost_at: float


class ShardMove(msgspec.Struct, frozen=True):
    """Shards that go to one entry."""

    to: str
    shards: tuple[int, ...]


class ShardMap(msgspec.Struct, frozen=True):
    """The owner of each shard.

    :param owners: incarnation by shard; `UNOWNED` when it has none.
    :param former: who lost shards within the retention, oldest first.
    :param version: raised by one with every change.
    """

    owners: tuple[str, ...] = (UNOWNED,) * SHARD_COUNT
    former: tuple[FormerOwner, ...] = ()
    version: int = 0

    def shards_of(self, incarnation: str) -> tuple[int, ...]:
        """Return the shards of an entry.

        >>> len(ShardMap().shards_of(UNOWNED))
        64
        """
        return tuple(
            shard for shard, owner in enumerate(self.owners) if owner == incarnation
        )

    def former_owners_of(self, shard: int) -> tuple[str, ...]:
        """Return the entries whose journals are the history of a shard."""
        return tuple(
            former.incarnation for former in self.former if shard in former.shards
        )

    def gained_since(self, earlier: 'ShardMap', incarnation: str) -> tuple[int, ...]:
        """Return the shards that an entry owns here but not in an earlier map."""
        before = set(earlier.shards_of(incarnation))
        return tuple(
            shard for shard in self.shards_of(incarnation) if shard not in before
        )

    def shards_inherited_from(self, former: str, incarnation: str) -> tuple[int, ...]:
        """Return the shards of an entry that a former owner lost."""
        return tuple(
            shard
            for shard in self.shards_of(incarnation)
            if former in self.former_owners_of(shard)
        )

    def plan_rebalancing(
        self, incarnation: str, live: Collection[str]
    ) -> tuple[ShardMove, ...]:
        """Return the moves that bring an entry's shards to their best owners.

        :param live: incarnations that take part, the entry's own included.
        """
        moves = assign_shards(self.shards_of(incarnation), live)
        return tuple(move for move in moves if move.to not in {incarnation, UNOWNED})

    def moved(
        self, moves: Collection[ShardMove], *, now: float, retention_s: float
    ) -> 'ShardMap':
        """Return the next map, after moves.

        :param now: wall time in seconds since the epoch.
        :param retention_s: former owners are kept this long, and the clock skew.
        """
        targets = {shard: move.to for move in moves for shard in move.shards}
        oldest = now - retention_s - CLOCK_SKEW_S
        kept = tuple(former for former in self.former if former.lost_at >= oldest)
        return ShardMap(
            owners=tuple(
                targets.get(shard, owner) for shard, owner in enumerate(self.owners)
            ),
            former=kept + self._losers(targets, now),
            version=self.version + 1,
        )

    def _losers(
        self, targets: Mapping[int, str], now: float
    ) -> tuple[FormerOwner, ...]:
        lost: dict[str, list[int]] = {}
        for shard, target in sorted(targets.items()):
            if self.owners[shard] not in {target, UNOWNED}:
                lost.setdefault(self.owners[shard], []).append(shard)
        return tuple(
            FormerOwner(owner, tuple(shards), now) for owner, shards in lost.items()
        )


def assign_shards(
    shards: Collection[int], live: Collection[str]
) -> tuple[ShardMove, ...]:
    """Give each shard to a live entry by rendezvous.

    >>> assign_shards((3, 5), ('entry-1.00ff',))
    (ShardMove(to='entry-1.00ff', shards=(3, 5)),)
    """
    shares: dict[str, list[int]] = {}
    for shard in shards:
        shares.setdefault(best_owner(shard, live), []).append(shard)
    return tuple(ShardMove(owner, tuple(share)) for owner, share in shares.items())


def best_owner(shard: int, live: Collection[str]) -> str:
    """Return the live entry that a shard belongs to, or `UNOWNED`."""
    ranked = rank_by_rendezvous(f'shard-{shard}', live)
    return ranked[0] if ranked else UNOWNED
