"""Interface of the platform's table service, a transactional key-value store."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """A key and its content, as read from the table.

    :param version: 1 when the row is created; each write of the row adds 1.
    """

    key: str
    content: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires a version of a row; version 0 requires that it does not exist."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one row; the content ``None`` deletes the row."""

    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied atomically if every condition holds."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


class Table(ABC):
    """Client interface: conditional multi-row transactions, reads, and scans."""

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row, or ``None`` when it does not exist.

        :raises TableUnavailable: when the service does not respond.
        """

    @abstractmethod
    async def scan(
        self, prefix: str, *, after: str = '', limit: int | None = None
    ) -> list[Row]:
        """Return the rows whose key starts with the prefix, in key order.

        :param after: return only rows whose key is greater than this one.
        :param limit: maximum number of rows; ``None`` for no limit.
        :raises TableUnavailable: when the service does not respond.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction atomically.

        :raises TableConflict: when a condition does not hold; nothing is written.
        :raises TableUnavailable: when no response arrives; the transaction may
            or may not have been applied.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the connections to the service."""
