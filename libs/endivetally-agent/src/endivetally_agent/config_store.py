"""The operators' configuration that this agent holds and passes on to entries."""

import time
from collections.abc import Callable
from typing import Final

from endivetally_core.messages import TextUpdate

# A version is requested at most once in this time, whichever peer reports it.
REQUEST_INTERVAL_S: Final = 1


class ConfigStore:
    """Keeps the newest configuration received; its version never decreases.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._update = TextUpdate(0, b'')
        self._requested_version = 0
        self._requested_at: float = 0

    @property
    def version(self) -> int:
        """Version of the configuration held; 0 if none was received yet."""
        return self._update.version

    @property
    def update_message(self) -> TextUpdate:
        """The configuration as a message for a peer."""
        return self._update

    def store_if_newer(self, update: TextUpdate) -> bool:
        """Store a configuration if it is newer than the current one.

        :return: whether it was stored.
        """
        if update.version <= self._update.version:
            return False
        self._update = update
        return True

    def should_request(self, version: int) -> bool:
        """Whether to request the configuration from a peer that holds a version.

        A version that was requested less than ``REQUEST_INTERVAL_S`` ago, or a lower
        one, is not requested again.
        """
        if version <= self._update.version:
            return False
        now = self._clock()
        recent = now - self._requested_at < REQUEST_INTERVAL_S
        if recent and version <= self._requested_version:
            return False
        self._requested_version = version
        self._requested_at = now
        return True
