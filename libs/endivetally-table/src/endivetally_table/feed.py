"""A table whose changes can be followed."""

from abc import abstractmethod
from dataclasses import dataclass

from endivetally_core.errors import EndivetallyError

from endivetally_table.table import Row
from endivetally_table.table import Table


class HistoryLost(EndivetallyError):
    """The changes since a version are no longer known; read everything again."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows as of one moment.

    :param version: newest version of the table service at that moment.
    """

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What has changed since a version.

    :param rows: rows that were written, in their newest form.
    :param deleted: rows that were removed, without content.
    :param version: from where to go on.
    """

    rows: tuple[Row, ...]
    deleted: tuple[Row, ...]
    version: int


class FeedTable(Table):
    """A table with snapshots and a feed of changes."""

    @abstractmethod
    async def read_snapshot(self, prefix: str) -> Snapshot:
        """Return all rows whose key starts with the prefix.

        :raises TableUnavailable: when the service does not answer.
        """

    @abstractmethod
    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Wait for changes, for a time at most.

        :param after: version up to which changes are known.
        :raises HistoryLost: when they are no longer known.
        :raises TableUnavailable: when the service does not answer.
        """
