"""Deletes journal rows that are older than the retention of keys."""

import asyncio
import logging
import random
import time
from typing import TYPE_CHECKING
from typing import Final

from endivetally_core.errors import IncarnationFenced
from endivetally_core.errors import TableUnavailable

if TYPE_CHECKING:
    from endivetally_table.directory import ShardDirectory
    from endivetally_table.journal import Journal

_log = logging.getLogger(__name__)

PRUNE_INTERVAL_S: Final = 60
# Allowance for differences between the clocks of workers.
CLOCK_SKEW_S: Final = 60


class JournalPruner:
    """Prunes this entry's journal and those of entries that have ended.

    :param retention_s: how long the outcome of a key is kept.
    """

    def __init__(
        self,
        journal: 'Journal',
        directory: 'ShardDirectory',
        retention_s: float,
    ) -> None:
        self._journal = journal
        self._directory = directory
        self._retention_s = retention_s

    async def run(self) -> None:
        """Prune periodically, until cancelled or fenced."""
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S * random.uniform(0.8, 1.2))
            try:
                await self._prune()
            except TableUnavailable:
                _log.debug('journal not pruned: the table service is unavailable')
            except IncarnationFenced:
                return

    async def _prune(self) -> None:
        oldest = time.time() - self._retention_s - CLOCK_SKEW_S
        await self._journal.prune(oldest)
        await self._directory.delete_expired_entries()
