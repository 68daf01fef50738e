"""The shard map: current and former owner of each shard of the key space."""

from collections.abc import Collection
from collections.abc import Mapping
from typing import Final

import msgspec
from endivetally_core.identifiers import rank_by_rendezvous

SHARD_COUNT: Final = 64
SHARDS_KEY: Final = 'shards'
# Owner of a shard that no entry owns.
UNOWNED: Final = ''
# Assumed maximum difference between the clocks of entries, in seconds.
CLOCK_SKEW_S: Final = 60


class FormerOwner(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation that lost shards; its journal is part of their history.

    :param lost_at: wall time in seconds since the epoch.
    """

    incarnation: str
    shards: tuple[int, ...]
    lost_at: float


class ShardMove(msgspec.Struct, frozen=True):
    """Shards that are moved to one entry.

    :param to: incarnation of the new owner.
    """

    to: str
    shards: tuple[int, ...]


class ShardMap(msgspec.Struct, frozen=True):
    """The owner of each shard.

    :param owners: incarnation by shard number; `UNOWNED` when it has no owner.
    :param former: owners that lost shards within the retention, oldest first.
    :param version: each change adds 1.
    """

    owners: tuple[str, ...] = (UNOWNED,) * SHARD_COUNT
    former: tuple[FormerOwner, ...] = ()
    version: int = 0

    def shards_of(self, incarnation: str) -> tuple[int, ...]:
        """Return the shards that an entry owns.

        >>> len(ShardMap().shards_of(UNOWNED))
        64
        """
        return tuple(
            shard for shard, owner in enumerate(self.owners) if owner == incarnation
        )

    def former_owners_of(self, shard: int) -> tuple[str, ...]:
        """Return the former owners of a shard, whose journals are its history."""
        return tuple(
            former.incarnation for former in self.former if shard in former.shards
        )

    def gained_since(self, earlier: 'ShardMap', incarnation: str) -> tuple[int, ...]:
        """Return the shards that an entry owns in this but not in an earlier map."""
        owned_before = set(earlier.shards_of(incarnation))
        return tuple(
            shard for shard in self.shards_of(incarnation) if shard not in owned_before
        )

    def shards_inherited_from(self, former: str, incarnation: str) -> tuple[int, ...]:
        """Return the shards of an entry that a given former owner has lost."""
        return tuple(
            shard
            for shard in self.shards_of(incarnation)
            if former in self.former_owners_of(shard)
        )

    def plan_rebalancing(
        self, incarnation: str, live: Collection[str]
    ) -> tuple[ShardMove, ...]:
        """Return the moves that bring an entry's shards to their preferred owners.

        :param live: incarnations that may own shards, including this entry.
        """
        moves = assign_shards(self.shards_of(incarnation), live)
        return tuple(move for move in moves if move.to not in {incarnation, UNOWNED})

    def with_moves(
        self, moves: Collection[ShardMove], *, now: float, retention_s: float
    ) -> 'ShardMap':
        """Return the next version of the map, with moves applied.

        :param now: wall time in seconds since the epoch.
        :param retention_s: seconds for which former owners are kept, in addition
            to the clock skew.
        """
        new_owners = {shard: move.to for move in moves for shard in move.shards}
        oldest = now - retention_s - CLOCK_SKEW_S
        kept = tuple(former for former in self.former if former.lost_at >= oldest)
        return ShardMap(
            owners=tuple(
                new_owners.get(shard, owner) for shard, owner in enumerate(self.owners)
            ),
            former=kept + self._collect_losses(new_owners, now),
            version=self.version + 1,
        )

    def _collect_losses(
        self, new_owners: Mapping[int, str], now: float
    ) -> tuple[FormerOwner, ...]:
        lost: dict[str, list[int]] = {}
        for shard, new_owner in sorted(new_owners.items()):
            if self.owners[shard] not in {new_owner, UNOWNED}:
                lost.setdefault(self.owners[shard], []).append(shard)
        return tuple(
            FormerOwner(owner, tuple(shards), now) for owner, shards in lost.items()
        )


def assign_shards(
    shards: Collection[int], live: Collection[str]
) -> tuple[ShardMove, ...]:
    """Assign each shard to a live entry by rendezvous hashing.

    >>> assign_shards((3, 5), ('entry-1.00ff',))
    (ShardMove(to='entry-1.00ff', shards=(3, 5)),)
    """
    shards_by_owner: dict[str, list[int]] = {}
    for shard in shards:
        shards_by_owner.setdefault(preferred_owner(shard, live), []).append(shard)
    return tuple(
        ShardMove(owner, tuple(owned)) for owner, owned in shards_by_owner.items()
    )


def preferred_owner(shard: int, live: Collection[str]) -> str:
    """Return the live entry with the highest rendezvous rank for a shard.

    Returns `UNOWNED` when no entry is live.
    """
    ranked = rank_by_rendezvous(f'shard-{shard}', live)
    return ranked[0] if ranked else UNOWNED
