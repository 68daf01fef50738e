"""Interface of the platform's table service."""

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Row:
    """A row as it was read.

    :param version: raised by one with every write of the row, from 1.
    """

    key: str
    content: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Condition:
    """The row must have this version; 0 means that it must not exist."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one row; ``None`` deletes it."""

    key: str
    content: bytes | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, if every condition holds."""

    conditions: tuple[Condition, ...]
    puts: tuple[Put, ...]


class Table(ABC):
    """Conditional multi-row transactions, and reads by key and prefix."""

    @abstractmethod
    async def read(self, key: str) -> Row | None:
        """Return the row, if it exists.

        :raises TableUnavailable: when the service does not answer.
        """

    @abstractmethod
    async def scan(
        self, prefix: str, *, after: str = '', limit: int | None = None
    ) -> list[Row]:
        """Return the rows whose key starts with the prefix, in key order.

        :param after: only rows whose key is greater.
        :param limit: at most so many rows.
        :raises TableUnavailable: when the service does not answer.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> None:
        """Apply a transaction.

        :raises TableConflict: when a condition does not hold.
        :raises TableUnavailable: when the answer is lost; the transaction may
            have taken effect.
        """

    @abstractmethod
    def close(self) -> None:
        """Release the connections."""
