"""The operators' text as this agent holds it, passed on between entries."""

import time
from collections.abc import Callable
from typing import Final

from endivetally_core.messages import TextUpdate

REQUEST_INTERVAL_S: Final = 1


class ConfigStore:
    """The newest text seen; its version never goes back.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._update = TextUpdate(0, b'')
        self._requested_version = 0
        self._requested_s: float = 0

    @property
    def version(self) -> int:
        """Version in force here; 0 means none yet."""
        return self._update.version

    @property
    def update_message(self) -> TextUpdate:
        """The text as a message for a peer."""
        return self._update

    def accept(self, update: TextUpdate) -> bool:
        """Keep a text if it is newer; return whether it was."""
        if update.version <= self._update.version:
            return False
        self._update = update
        return True

    def should_request(self, version: int) -> bool:
        """Whether to ask the peer that holds a version for its text."""
        if version <= self._update.version:
            return False
        now_s = self._clock()
        recent = now_s - self._requested_s < REQUEST_INTERVAL_S
        if recent and version <= self._requested_version:
            return False
        self._requested_version = version
        self._requested_s = now_s
        return True
