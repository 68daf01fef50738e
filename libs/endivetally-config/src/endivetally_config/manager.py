"""The operators' configuration that is in force in one process."""

from collections.abc import Callable

from endivetally_core.decoding import DECODE_ERRORS
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
    """Holds the current configuration and replaces it only with newer versions.

    :param retry_delays_s: seconds between the attempts to write a submission, or to
        find out its outcome, when the response of the table is lost.
    """

    def __init__(self, retry_delays_s: tuple[float, ...] = RETRY_DELAYS_S) -> None:
        self._retry_delays_s = retry_delays_s
        self._current = EMPTY_CONFIG
        self._encoded = encode_config(EMPTY_CONFIG.config)
        self._callbacks: list[Callable[[VersionedConfig], None]] = []

    @property
    def current(self) -> VersionedConfig:
        """Current configuration with its version."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 while there is none."""
        return self._current.version

    @property
    def config(self) -> OperatorConfig:
        """Current configuration; it has no services and teams at version 0."""
        return self._current.config

    @property
    def encoded(self) -> bytes:
        """Current configuration as canonical JSON."""
        return self._encoded

    def add_change_callback(self, callback: Callable[[VersionedConfig], None]) -> None:
        """Register a function that is called with each new configuration."""
        self._callbacks.append(callback)

    def apply_if_newer(self, version: int, encoded: bytes) -> bool:
        """Replace the current configuration if the version is higher.

        :param encoded: an accepted configuration as canonical JSON.
        :return: whether the configuration was replaced.
        :raises MalformedMessage: when the configuration cannot be decoded; the
            current one remains.
        """
        if version <= self.version:
            return False
        try:
            config = decode_config(encoded)
        except DECODE_ERRORS as error:
            raise MalformedMessage(f'configuration {version}: {error}') from error
        self._current = VersionedConfig(version, config)
        self._encoded = bytes(encoded)
        for callback in self._callbacks:
            callback(self._current)
        return True

    async def load(self, table: Table) -> bool:
        """Read the configuration from the table and apply it if it is newer.

        :return: whether the current configuration was replaced.
        :raises TableUnavailable: when the table does not respond.
        :raises MalformedMessage: when the row cannot be decoded.
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
        """Validate a configuration, store it and apply it.

        :param encoded: the configuration as JSON.
        :param based_on: version that the operator edited; 0 for the first
            configuration.
        :param submitter: person or pipeline that submits it, for the history.
        :return: the new version.
        :raises ConfigInvalid: with all faults of the configuration.
        :raises RequestError: ``CONFIG_CONFLICT`` when another version is in force,
            ``PLATFORM_UNAVAILABLE`` when the table does not respond or the outcome
            of the write remains unknown.
        """
        config = check_config(encoded)
        store = ConfigStore(table, self._retry_delays_s)
        stored = await store.replace(encode_config(config), based_on, submitter)
        self._apply_stored(stored)
        return stored.version

    async def read_history(self, table: Table) -> list[ConfigChange]:
        """Return the stored changes of the configuration, oldest first.

        :raises TableUnavailable: when the table does not respond.
        :raises MalformedMessage: when a row cannot be decoded.
        """
        return await ConfigStore(table).read_history()

    def _apply_stored(self, stored: StoredConfig) -> bool:
        return self.apply_if_newer(stored.version, bytes(stored.config))
