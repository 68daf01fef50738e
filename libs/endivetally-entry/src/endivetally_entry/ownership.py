"""Which entry owns a caller's key, and the history that an owner needs."""

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

    from endivetally_entry.recovery import Recovery
    from endivetally_entry.requests import KeyName

_log = logging.getLogger(__name__)

HISTORY_RETRY_S = 0.5


class Ownership:
    """View of the shard map, with the histories of former owners.

    :param identity: this entry.
    """

    def __init__(
        self,
        identity: 'EntryIdentity',
        directory: 'ShardDirectory',
        recovery: 'Recovery',
        journal: 'Journal',
    ) -> None:
        self._identity = identity
        self._directory = directory
        self._recovery = recovery
        self._journal = journal
        self._releasing: frozenset[int] = frozenset()
        self._changed = asyncio.Condition()
        self._reading = asyncio.Lock()

    async def start(self) -> None:
        """Claim this entry's shards and read what their former owners did.

        :raises TableUnavailable: when the table does not answer.
        """
        await self._directory.join(self._identity)
        await self._read_histories()

    async def refresh(self) -> None:
        """Read the shard map again.

        :raises TableUnavailable: when the table does not answer.
        """
        async with self._reading:
            await self._directory.refresh()
            await self._read_histories()
        await self._notify()

    async def take_over(self, dead: 'EntryIdentity') -> None:
        """Fence a dead entry and share out its shards.

        :raises TableUnavailable: when the table does not answer.
        """
        outcome = await self._directory.take_over(
            dead.incarnation,
            self._identity,
        )
        if outcome.won:
            _log.warning('entry taken over', extra={'dead': dead.incarnation})
        await self.refresh()

    async def leave(self) -> None:
        """Hand every shard to the other live entries and close the journal.

        :raises TableUnavailable: when the table does not answer.
        """
        await self._directory.leave(self._identity)
        await self._notify()

    def owner_of(self, name: 'KeyName') -> str | None:
        """Return the incarnation of the owner, if the map is known."""
        shard = shard_of(name.team, name.key, SHARD_COUNT)
        return self._directory.owner_of(shard) or None

    def owns(self, name: 'KeyName') -> bool:
        """Return whether this entry owns a key and is not releasing it."""
        shard = shard_of(name.team, name.key, SHARD_COUNT)
        owner = self._directory.owner_of(shard)
        return owner == self._identity.incarnation and shard not in self._releasing

    async def release_misplaced(self, linked: list[str]) -> int:
        """Hand shards to the entries that they belong to by rendezvous.

        Stops admitting their keys and waits for the journal first, so that the
        new owner finds the whole history.

        :param linked: incarnations of the other open entries.
        :returns: number of shards released.
        :raises TableUnavailable: when the table does not answer.
        """
        own = self._identity.incarnation
        await self._settle_release()
        moves = self._directory.shard_map.plan_rebalancing(own, [own, *linked])
        for move in moves:
            # Stays in force when the call fails: it may have taken effect.
            self._releasing = frozenset(move.shards)
            await self._journal.flush()
            await self._directory.release_shards(self._identity, move.shards, move.to)
            self._releasing = frozenset()
            _log.info('shards released', extra={'to': move.to})
        return sum(len(moved.shards) for moved in moves)

    async def _settle_release(self) -> None:
        """Take back an undecided release, unless it has taken effect.

        The move to itself raises the version of the map, so that an earlier
        transaction can't take effect after it.
        """
        if self._releasing:
            own = self._identity.incarnation
            await self._directory.release_shards(self._identity, self._releasing, own)
            self._releasing = frozenset()

    def holds_history(self) -> bool:
        """Return whether the journals of all former owners have been read."""
        return not self._missing_histories()

    async def wait_for_history(self, deadline: float) -> None:
        """Wait until this entry may answer for the keys that it owns.

        :param deadline: time on the event loop's clock.
        :raises RequestError: when the histories can't be read in time.
        """
        if self.holds_history():
            return
        timeout = deadline - asyncio.get_running_loop().time()
        try:
            await asyncio.wait_for(self._wait_until_read(), timeout)
        except TimeoutError as error:
            raise RequestError(
                ErrorKind.OUTCOME_UNKNOWN,
                'the history of the key can not be read',
            ) from error

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next look at the map, for a time at most."""
        async with self._changed:
            try:
                await asyncio.wait_for(self._changed.wait(), timeout_s)
            except TimeoutError:
                return

    async def _wait_until_read(self) -> None:
        async with self._changed:
            await self._changed.wait_for(self.holds_history)

    async def _read_histories(self) -> None:
        for owner, shards in self._missing_histories().items():
            await self._recovery.read_history(owner, shards)

    def _missing_histories(self) -> dict[str, frozenset[int]]:
        """Return the shards by former owner whose journal is still to be read."""
        own = self._identity.incarnation
        shard_map = self._directory.shard_map
        missing: dict[str, frozenset[int]] = {}
        for former in shard_map.former:
            if former.incarnation == own:
                continue
            shards = frozenset(shard_map.shards_inherited_from(former.incarnation, own))
            unread = self._recovery.unread(former.incarnation, shards)
            if unread:
                missing[former.incarnation] = unread
        return missing

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def run(self, interval_s: float) -> None:
        """Look at the map again and again, until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            try:
                await self.refresh()
            except TableUnavailable:
                _log.debug('shard map not read')
