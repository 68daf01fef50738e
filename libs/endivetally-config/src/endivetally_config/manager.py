"""The operators' text in force in one process."""

from collections.abc import Callable

import msgspec
from endivetally_core.errors import MalformedMessage
from endivetally_table.table import Table

from endivetally_config.checks import check_text
from endivetally_config.operator_config import OperatorsText
from endivetally_config.operator_config import VersionedText
from endivetally_config.operator_config import decode_text
from endivetally_config.operator_config import encode_text
from endivetally_config.store import SETTLE_PAUSES_S
from endivetally_config.store import StoredText
from endivetally_config.store import TextChange
from endivetally_config.store import TextStore

NO_TEXT = VersionedText(0, OperatorsText((), ()))


class TextKeeper:
    """Holds the text in force and never goes back from a version.

    :param settle_pauses_s: pauses between attempts to settle a submission whose
        answer from the table was lost.
    """

    def __init__(self, settle_pauses_s: tuple[float, ...] = SETTLE_PAUSES_S) -> None:
        self._settle_pauses_s = settle_pauses_s
        self._current = NO_TEXT
        self._encoded = encode_text(NO_TEXT.text)
        self._callbacks: list[Callable[[VersionedText], None]] = []

    @property
    def current(self) -> VersionedText:
        """Text in force with its version."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the text in force; 0 means none yet."""
        return self._current.version

    @property
    def text(self) -> OperatorsText:
        """Text in force; without services and teams while there is none."""
        return self._current.text

    @property
    def encoded(self) -> bytes:
        """Text in force as canonical JSON."""
        return self._encoded

    def on_change(self, callback: Callable[[VersionedText], None]) -> None:
        """Call a function with every text that comes into force."""
        self._callbacks.append(callback)

    def adopt(self, version: int, encoded: bytes) -> bool:
        """Put a text in force if its version is above the one held.

        :param encoded: an accepted text as canonical JSON.
        :return: whether the text was adopted.
        :raises MalformedMessage: when the text does not decode.
        """
        if version <= self.version:
            return False
        try:
            text = decode_text(encoded)
        except msgspec.DecodeError as error:
            raise MalformedMessage(f'text {version}: {error}') from error
        self._current = VersionedText(version, text)
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
        stored = await TextStore(table).read()
        return stored is not None and self._adopt_stored(stored)

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
        :raises TextInvalid: with every fault of the text.
        :raises RequestError: ``CONFIG_CONFLICT`` when another version is in force,
            ``PLATFORM_UNAVAILABLE`` when the change can not be settled.
        """
        text = check_text(encoded)
        store = TextStore(table, self._settle_pauses_s)
        stored = await store.replace(encode_text(text), based_on, submitter)
        self._adopt_stored(stored)
        return stored.version

    async def history(self, table: Table) -> list[TextChange]:
        """Return the changes of the text, oldest first.

        :raises TableUnavailable: when the table does not answer.
        """
        return await TextStore(table).read_history()

    def _adopt_stored(self, stored: StoredText) -> bool:
        return self.adopt(stored.version, bytes(stored.text))
