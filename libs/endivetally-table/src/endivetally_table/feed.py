"""Interface of a table with a change feed."""

from abc import abstractmethod
from dataclasses import dataclass

from endivetally_core.errors import EndivetallyError

from endivetally_table.table import Row
from endivetally_table.table import Table


class HistoryLost(EndivetallyError):
    """The feed no longer holds the changes since a version; read a new snapshot."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows at one version of the table.

    :param version: newest version of the whole table service at that moment; pass it
        to `FeedTable.wait_for_changes` to follow the changes since the snapshot.
    """

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class RowChange:
    """A write or a deletion of one row.

    :param row: the row as it was written; ``None`` if it was deleted.
    """

    key: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes since a version of the table.

    :param rows: the changes of rows in the order in which they were made. A row that
        has changed several times may appear several times.
    :param version: version of the whole table service to pass to the next call.
    """

    rows: tuple[RowChange, ...]
    version: int


class FeedTable(Table):
    """A table with consistent snapshots and a change feed."""

    @abstractmethod
    async def read_snapshot(self, prefix: str) -> Snapshot:
        """Return all rows whose key starts with the prefix, at one version.

        :raises TableUnavailable: when the service does not respond.
        """

    @abstractmethod
    async def wait_for_changes(self, after: int, wait_s: float) -> Changes:
        """Return the changes after a version; wait if there are none yet.

        :param after: version up to which the caller knows the changes.
        :param wait_s: maximum wait in seconds; then the result has no rows.
        :raises HistoryLost: when the feed no longer holds these changes.
        :raises TableUnavailable: when the service does not respond.
        """
