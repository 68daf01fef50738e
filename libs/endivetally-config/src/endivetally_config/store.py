"""The operators' configuration in the platform's table, changed by compare-and-swap.

One transaction writes the row of the current configuration and the history row of
its version. Both rows carry a write id, which shows whether a write took effect
when the response to it was lost.
"""

import asyncio
import secrets
import time
from typing import Final
from typing import TypeVar

import msgspec
from endivetally_core.decoding import DECODE_ERRORS
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import MalformedMessage
from endivetally_core.errors import RequestError
from endivetally_core.errors import TableConflict
from endivetally_core.errors import TableUnavailable
from endivetally_table.table import Condition
from endivetally_table.table import Put
from endivetally_table.table import Row
from endivetally_table.table import Table
from endivetally_table.table import Transaction

from endivetally_config.exceptions import ConfigConflict

CONFIG_KEY: Final = 'text'
HISTORY_PREFIX: Final = 'text-history/'
# The row of the oldest version is deleted when another is added.
MAX_HISTORY_VERSIONS: Final = 1000
# Characters; longer names are truncated.
MAX_SUBMITTER_LENGTH: Final = 128
RETRY_DELAYS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.8)

_WRITE_ID_BYTES = 8

RowContent = TypeVar('RowContent', bound=msgspec.Struct)


class StoredConfig(msgspec.Struct, frozen=True):
    """Row of the current configuration.

    :param write_id: unique identifier of the write.
    :param config: the configuration as canonical JSON.
    """

    version: int
    write_id: str
    config: msgspec.Raw = msgspec.field(name='text')


class ConfigChange(msgspec.Struct, frozen=True):
    """Row of the history: who submitted a version and when.

    :param write_id: same as in the row of the configuration.
    :param submitter: person or pipeline that submitted it.
    :param changed_at_s: seconds since the Unix epoch by the clock of the entry that
        wrote the row.
    """

    version: int
    write_id: str
    submitter: str
    changed_at_s: float


class ConfigStore:
    """Reads and replaces the configuration in the table.

    :param retry_delays_s: seconds between the attempts to write, or to find out the
        outcome of a write, when a response is lost; there is one attempt more than
        there are delays.
    """

    def __init__(
        self,
        table: Table,
        retry_delays_s: tuple[float, ...] = RETRY_DELAYS_S,
    ) -> None:
        self._table = table
        self._retry_delays_s = retry_delays_s

    async def read(self) -> StoredConfig | None:
        """Return the current configuration, or ``None`` before the first one.

        :raises TableUnavailable: when the table does not respond.
        :raises MalformedMessage: when the row cannot be decoded.
        """
        row = await self._table.read(CONFIG_KEY)
        return None if row is None else _decode_row(row, StoredConfig)

    async def read_history(self) -> list[ConfigChange]:
        """Return the newest `MAX_HISTORY_VERSIONS` changes, oldest first.

        :raises TableUnavailable: when the table does not respond.
        :raises MalformedMessage: when a row cannot be decoded.
        """
        rows = await self._table.scan(HISTORY_PREFIX)
        return [_decode_row(row, ConfigChange) for row in rows]

    async def replace(
        self, config: bytes, based_on: int, submitter: str
    ) -> StoredConfig:
        """Store a configuration as the next version and return its row.

        :param config: a valid configuration as canonical JSON.
        :param based_on: version that the operator edited; 0 for the first
            configuration.
        :param submitter: person or pipeline that submits it, for the history.
        :raises RequestError: ``CONFIG_CONFLICT`` when another version is in force,
            ``PLATFORM_UNAVAILABLE`` when the table does not respond; its ``ran``
            tells whether the change may have taken effect.
        """
        try:
            row = await self._table.read(CONFIG_KEY)
        except TableUnavailable as error:
            raise _unavailable_error(
                'nothing was written', ExecutionState.NOT_RUN
            ) from error
        version = 0 if row is None else _decode_row(row, StoredConfig).version
        if version != based_on:
            raise ConfigConflict(version)
        write_id = secrets.token_hex(_WRITE_ID_BYTES)
        stored = StoredConfig(version + 1, write_id, msgspec.Raw(config))
        condition = Condition(CONFIG_KEY, 0 if row is None else row.version)
        await self._write(
            Transaction((condition,), _build_puts(stored, submitter)), stored
        )
        return stored

    async def _write(self, transaction: Transaction, stored: StoredConfig) -> None:
        # Repeating the transaction is safe: its condition lets it succeed only once.
        for delay_s in (0, *self._retry_delays_s):
            await asyncio.sleep(delay_s)
            try:
                await self._table.commit(transaction)
            except TableUnavailable:
                if await self._check_write(stored):
                    return
            except TableConflict:
                await self._resolve_conflict(stored)
                return
            else:
                return
        raise _unavailable_error(
            'the change may have taken effect', ExecutionState.UNKNOWN
        )

    async def _resolve_conflict(self, stored: StoredConfig) -> None:
        for delay_s in (0, *self._retry_delays_s):
            await asyncio.sleep(delay_s)
            if await self._check_write(stored):
                return
        raise _unavailable_error(
            'the change may have taken effect', ExecutionState.UNKNOWN
        )

    async def _check_write(self, stored: StoredConfig) -> bool:
        """Return whether a write took effect; ``False`` also when still unknown.

        :raises ConfigConflict: when another write created the same version.
        """
        try:
            row = await self._table.read(_history_key(stored.version))
        except TableUnavailable:
            return False
        if row is None:
            return False
        if _decode_row(row, ConfigChange).write_id == stored.write_id:
            return True
        raise ConfigConflict(stored.version)


def _build_puts(stored: StoredConfig, submitter: str) -> tuple[Put, ...]:
    change = ConfigChange(
        stored.version,
        stored.write_id,
        submitter[:MAX_SUBMITTER_LENGTH],
        time.time(),
    )
    puts = (
        Put(CONFIG_KEY, msgspec.json.encode(stored)),
        Put(_history_key(stored.version), msgspec.json.encode(change)),
    )
    if stored.version > MAX_HISTORY_VERSIONS:
        return (*puts, Put(_history_key(stored.version - MAX_HISTORY_VERSIONS), None))
    return puts


def _history_key(version: int) -> str:
    return f'{HISTORY_PREFIX}{version:010d}'


def _decode_row(row: Row, structure: type[RowContent]) -> RowContent:
    try:
        return msgspec.json.decode(row.content, type=structure)
    except DECODE_ERRORS as error:
        raise MalformedMessage(f'row {row.key}: {error}') from error


def _unavailable_error(detail: str, ran: ExecutionState) -> RequestError:
    return RequestError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f'the table service does not answer; {detail}',
        execution_state=ran,
    )
