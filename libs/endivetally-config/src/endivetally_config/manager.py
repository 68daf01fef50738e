"""The operators' text in force in one process."""

from collections.abc import Callable

import msgspec
from endivetally_core.errors import MalformedMessage
from endivetally_table.table import Table

from endivetally_config.checks import check_config
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import VersionedConfig
from endivetally_config.operator_config import decode_config
from endivetally_config.operator_config import encode_config
from endivetally_config.store import RETRY_DELAYS_S
from endivetally_config.store import ConfigChange
from endivetally_config.store import ConfigStore
from endivetally_config.store import StoredConfig

EMPTY_CONFIG = VersionedConfig(0, OperatorConfig((), ()))


class ConfigManager:
    """Holds the text in force and never goes back from a version.

    :param retry_delays_s: pauses between attempts to settle a submission whose
        answer from the table was lost.
    """

    def __init__(self, retry_delays_s: tuple[float, ...] = RETRY_DELAYS_S) -> None:
        self._settle_pauses_s = retry_delays_s
        self._current = EMPTY_CONFIG
        self._encoded = encode_config(EMPTY_CONFIG.config)
        self._callbacks: list[Callable[[VersionedConfig], None]] = []

    @property
    def current(self) -> VersionedConfig:
        """Text in force with its version."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the text in force; 0 means none yet."""
        return self._current.version

    @property
    def config(self) -> OperatorConfig:
        """Text in force; without services and teams while there is none."""
        return self._current.config

    @property
    def encoded(self) -> bytes:
        """Text in force as canonical JSON."""
        return self._encoded

    def add_change_callback(self, callback: Callable[[VersionedConfig], None]) -> None:
        """Call a function with every text that comes into force."""
        self._callbacks.append(callback)

    def apply_if_newer(self, version: int, encoded: bytes) -> bool:
        """Put a text in force if its version is above the one held.

        :param encoded: an accepted text as canonical JSON.
        :return: whether the text was adopted.
        :raises MalformedMessage: when the text does not decode.
        """
        if version <= self.version:
            return False
        try:
            text = decode_config(encoded)
        except msgspec.DecodeError as error:
            raise MalformedMessage(f'text {version}: {error}') from error
        self._current = VersionedConfig(version, text)
        self._encoded = bytes(encoded)
        for callback in self._callbacks:
            callback(self._current)
        return True

    async def load(self, table: Table) -> bool:
        """Adopt the text of the table.

        :return: whether a newer text was adopted.
        :raises TableUnavailable: when the table does not answer.
        :raises MalformedMessage: when its row does not decode.
        """
        stored = await ConfigStore(table).read()
        return stored is not None and self._apply_stored(stored)

    async def submit(
        self,
        table: Table,
        encoded: bytes,
        based_on: int,
        submitter: str,
    ) -> int:
        """Check a text, put it in force and return its version.

        :param based_on: version that the change was made to; 0 for the first.
        :param submitter: who asks for the change, for the history.
        :raises ConfigInvalid: with every fault of the text.
        :raises RequestError: ``CONFIG_CONFLICT`` when another version is in force,
            ``PLATFORM_UNAVAILABLE`` when the change can not be settled.
        """
        text = check_config(encoded)
        store = ConfigStore(table, self._settle_pauses_s)
        stored = await store.replace(encode_config(text), based_on, submitter)
        self._apply_stored(stored)
        return stored.version

    async def read_history(self, table: Table) -> list[ConfigChange]:
        """Return the changes of the text, oldest first.

        :raises TableUnavailable: when the table does not answer.
        """
        return await ConfigStore(table).read_history()

    def _apply_stored(self, stored: StoredConfig) -> bool:
        return self.apply_if_newer(stored.version, bytes(stored.config))
