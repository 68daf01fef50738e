"""The operators' text in the platform's table, changed by compare-and-swap.

One transaction writes the row of the text in force and the history row of its
version. Both carry a write id, by which a write whose answer was lost is found
again.
"""

import asyncio
import secrets
import time
from typing import Final
from typing import TypeVar

import msgspec
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
MAX_HISTORY_VERSIONS: Final = 1000
MAX_SUBMITTER_LENGTH: Final = 128
RETRY_DELAYS_S: Final = (0.05, 0.1, 0.2, 0.4, 0.8)

_WRITE_ID_BYTES = 8

Stored = TypeVar('Stored', bound=msgspec.Struct)


class StoredConfig(msgspec.Struct, frozen=True):
    """Row of the text in force.

    :param text: the text as canonical JSON.
    """

    version: int
    write_id: str
    config: msgspec.Raw = msgspec.field(name='text')


class ConfigChange(msgspec.Struct, frozen=True):
    """Row of the history: who put a version in force and when.

    :param changed_at_s: seconds since the epoch, by the writer's clock.
    """

    version: int
    write_id: str
    submitter: str
    changed_at_s: float


class ConfigStore:
    """Reads and changes the text in the table.

    :param retry_delays_s: pauses between the attempts to settle a write whose
        answer was lost; their number limits the attempts.
    """

    def __init__(
        self,
        table: Table,
        retry_delays_s: tuple[float, ...] = RETRY_DELAYS_S,
    ) -> None:
        self._table = table
        self._settle_pauses_s = retry_delays_s

    async def read(self) -> StoredConfig | None:
        """Return the text in force, if there is one.

        :raises TableUnavailable: when the table does not answer.
        :raises MalformedMessage: when the row does not decode.
        """
        row = await self._table.read(CONFIG_KEY)
        return None if row is None else _decode(row, StoredConfig)

    async def read_history(self) -> list[ConfigChange]:
        """Return the changes that are kept, oldest first.

        :raises TableUnavailable: when the table does not answer.
        """
        rows = await self._table.scan(HISTORY_PREFIX)
        return [_decode(row, ConfigChange) for row in rows]

    async def replace(self, text: bytes, based_on: int, submitter: str) -> StoredConfig:
        """Put a checked text in force.

        :param text: canonical JSON.
        :param based_on: version that the change was made to; 0 for the first.
        :raises RequestError: ``CONFIG_CONFLICT`` when another version is in force,
            ``PLATFORM_UNAVAILABLE`` when the table does not answer; its run
            state tells whether the change may still take effect.
        """
        try:
            row = await self._table.read(CONFIG_KEY)
        except TableUnavailable as error:
            raise _unavailable('nothing was written', ExecutionState.NOT_RUN) from error
        version = 0 if row is None else _decode(row, StoredConfig).version
        if version != based_on:
            raise ConfigConflict(version)
        write_id = secrets.token_hex(_WRITE_ID_BYTES)
        stored = StoredConfig(version + 1, write_id, msgspec.Raw(text))
        condition = Condition(CONFIG_KEY, 0 if row is None else row.version)
        await self._write(Transaction((condition,), _puts(stored, submitter)), stored)
        return stored

    async def _write(self, transaction: Transaction, stored: StoredConfig) -> None:
        # A repeated attempt is safe: the condition lets one of them take effect.
        for pause_s in (0, *self._settle_pauses_s):
            await asyncio.sleep(pause_s)
            try:
                await self._table.commit(transaction)
            except TableUnavailable:
                if await self._find_write(stored):
                    return
            except TableConflict:
                await self._settle_conflict(stored)
                return
            else:
                return
        raise _unavailable('the change may have taken effect', ExecutionState.UNKNOWN)

    async def _settle_conflict(self, stored: StoredConfig) -> None:
        for pause_s in (0, *self._settle_pauses_s):
            await asyncio.sleep(pause_s)
            if await self._find_write(stored):
                return
        raise _unavailable('the change may have taken effect', ExecutionState.UNKNOWN)

    async def _find_write(self, stored: StoredConfig) -> bool:
        """Tell whether the write took effect; false when that is not known yet.

        :raises ConfigConflict: when another write took its version.
        """
        try:
            row = await self._table.read(_history_key(stored.version))
        except TableUnavailable:
            return False
        if row is None:
            return False
        if _decode(row, ConfigChange).write_id == stored.write_id:
            return True
        raise ConfigConflict(stored.version)


def _puts(stored: StoredConfig, submitter: str) -> tuple[Put, ...]:
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


def _decode(row: Row, structure: type[Stored]) -> Stored:
    try:
        return msgspec.json.decode(row.content, type=structure)
    except msgspec.DecodeError as error:
        raise MalformedMessage(f'row {row.key}: {error}') from error


def _unavailable(detail: str, ran: ExecutionState) -> RequestError:
    return RequestError(
        ErrorKind.PLATFORM_UNAVAILABLE,
        f'the table service does not answer; {detail}',
        ran=ran,
    )
