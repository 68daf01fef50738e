"""Limits for the clients of a process, derived from the resources of its machine."""

from dataclasses import dataclass
from typing import Final

BYTES_PER_MB: Final = 1024 * 1024
# Part of the memory for incomplete requests. A process that has no clients uses less
# than a third of the smallest machine.
INCOMPLETE_PART: Final = 1 / 8
# Longest body at a listener that callers don't use; reports take about 1 KB.
SIDE_BODY_BYTES: Final = 64 * 1024


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one HTTP server.

    :param max_body_bytes: longest body of a request.
    """

    max_body_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What the machine gives a process.

    :param memory_mb: memory in MB.
    """

    memory_mb: float = 160

    @property
    def max_incomplete_bytes(self) -> int:
        """Bytes that all incomplete requests of the process may hold together."""
        return int(self.memory_mb * BYTES_PER_MB * INCOMPLETE_PART)

    @property
    def side_server(self) -> ServerLimits:
        """Limits of a server that callers don't use, such as that of the metrics."""
        return ServerLimits(SIDE_BODY_BYTES)

    def caller_server(self, max_body_bytes: int) -> ServerLimits:
        """Return the limits of the server for callers.

        :param max_body_bytes: longest body that the interface allows.
        """
        return ServerLimits(max_body_bytes)
