"""Tracks which entry owns a key, and which journals of former owners were read."""

import asyncio
import logging
from typing import TYPE_CHECKING

from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableUnavailable
from endivetally_core.identifiers import shard_of
from endivetally_table.shards import SHARD_COUNT

if TYPE_CHECKING:
    from endivetally_core.joining import EntryIdentity
    from endivetally_table.directory import ShardDirectory
    from endivetally_table.journal import Journal

    from endivetally_entry.recovery import RequestRecovery
    from endivetally_entry.requests import ScopedKey

_log = logging.getLogger(__name__)

HISTORY_RETRY_S = 0.5


class ShardOwnership:
    """Acquires and releases the shards of this entry.

    Each key belongs to a shard, and each shard to one entry. An entry runs requests
    for a shard only after it has read the journals of the shard's former owners.

    :param identity: identity of this entry.
    """

    def __init__(
        self,
        identity: 'EntryIdentity',
        directory: 'ShardDirectory',
        recovery: 'RequestRecovery',
        journal: 'Journal',
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._recovery = recovery
        self._journal = journal
        self._releasing: frozenset[int] = frozenset()
        self._refreshed = asyncio.Condition()
        self._refresh_lock = asyncio.Lock()

    async def start(self) -> None:
        """Acquire unowned shards and read the journals of their former owners.

        :raises TableUnavailable: when the table service is unavailable.
        """
        await self._directory.join(self._identity)
        await self._read_histories()

    async def refresh(self) -> None:
        """Read the shard map, and the journals of any new former owners.

        :raises TableUnavailable: when the table service is unavailable.
        """
        async with self._refresh_lock:
            await self._directory.refresh()
            await self._read_histories()
        await self._notify_refreshed()

    async def take_over(self, dead: 'EntryIdentity') -> None:
        """Fence a dead entry and distribute its shards among the live entries.

        :raises TableUnavailable: when the table service is unavailable.
        """
        outcome = await self._directory.take_over(
            dead.incarnation,
            self._identity,
        )
        if outcome.won:
            _log.warning('entry taken over', extra={'dead': dead.incarnation})
        await self.refresh()

    async def leave(self) -> None:
        """Transfer all shards to the other live entries and close the journal.

        :raises TableUnavailable: when the table service is unavailable.
        """
        await self._directory.leave(self._identity)
        await self._notify_refreshed()

    def find_owner(self, scoped_key: 'ScopedKey') -> str | None:
        """Return the incarnation of a key's owner.

        ``None`` means that the key has no owner or that the map is not known yet.
        """
        shard = shard_of(scoped_key.team, scoped_key.key, SHARD_COUNT)
        return self._directory.owner_of(shard) or None

    def owns(self, scoped_key: 'ScopedKey') -> bool:
        """Return whether this entry owns a key and is not releasing its shard."""
        shard = shard_of(scoped_key.team, scoped_key.key, SHARD_COUNT)
        owner = self._directory.owner_of(shard)
        return owner == self._identity.incarnation and shard not in self._releasing

    async def release_misplaced_shards(self, linked: list[str]) -> int:
        """Release the shards that rendezvous hashing assigns to other entries.

        This entry first stops admitting the keys of the shards and flushes its
        journal, so that the new owner finds every request in it.

        :param linked: incarnations of the other open entries with a link.
        :returns: number of shards released.
        :raises TableUnavailable: when the table service is unavailable.
        """
        own = self._identity.incarnation
        await self._cancel_unconfirmed_release()
        moves = self._directory.shard_map.plan_rebalancing(own, [own, *linked])
        for move in moves:
            # Stays set if the release below fails, as it may still have taken effect.
            self._releasing = frozenset(move.shards)
            await self._journal.flush()
            await self._directory.release_shards(self._identity, move.shards, move.to)
            self._releasing = frozenset()
            _log.info('shards released', extra={'to': move.to})
        return sum(len(moved.shards) for moved in moves)

    async def _cancel_unconfirmed_release(self) -> None:
        """Cancel a release with an unknown outcome, unless it has taken effect.

        Releasing the shards to this entry itself raises the version of the map, so
        that the earlier transaction can no longer take effect.
        """
        if self._releasing:
            own = self._identity.incarnation
            await self._directory.release_shards(self._identity, self._releasing, own)
            self._releasing = frozenset()

    def has_all_histories(self) -> bool:
        """Return whether the journals of all former owners have been read."""
        return not self._find_missing_histories()

    async def wait_for_histories(self, deadline: float) -> None:
        """Wait until the journals of all former owners have been read.

        :param deadline: time on the event loop's clock.
        :raises RequestError: when they can't be read before the deadline.
        """
        if self.has_all_histories():
            return
        timeout = deadline - asyncio.get_running_loop().time()
        try:
            await asyncio.wait_for(self._wait_until_histories_read(), timeout)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                'the history of the key can not be read',
            ) from error

    async def wait_for_refresh(self, timeout_s: float) -> None:
        """Wait for the next refresh of the shard map, or for the timeout."""
        async with self._refreshed:
            try:
                await asyncio.wait_for(self._refreshed.wait(), timeout_s)
            except TimeoutError:
                return

    async def _wait_until_histories_read(self) -> None:
        async with self._refreshed:
            await self._refreshed.wait_for(self.has_all_histories)

    async def _read_histories(self) -> None:
        for owner, shards in self._find_missing_histories().items():
            await self._recovery.read_history(owner, shards)

    def _find_missing_histories(self) -> dict[str, frozenset[int]]:
        """Return the shards whose journal has not been read, by former owner."""
        own = self._identity.incarnation
        shard_map = self._directory.shard_map
        missing: dict[str, frozenset[int]] = {}
        for former in shard_map.former:
            if former.incarnation == own:
                continue
            shards = frozenset(shard_map.shards_inherited_from(former.incarnation, own))
            unread = self._recovery.find_unread_shards(former.incarnation, shards)
            if unread:
                missing[former.incarnation] = unread
        return missing

    async def _notify_refreshed(self) -> None:
        async with self._refreshed:
            self._refreshed.notify_all()

    async def run(self, interval_s: float) -> None:
        """Refresh the shard map periodically, until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            try:
                await self.refresh()
            except TableUnavailable:
                _log.debug('shard map not refreshed: the table service is unavailable')
