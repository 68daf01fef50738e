"""Limits for the clients of a process, derived from the resources of its machine."""

from dataclasses import dataclass
from typing import Final

from endivetally_policy.clients.open_tasks import OpenTaskLimit

BYTES_PER_MB: Final = 1024 * 1024
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS: Final = 200
# Longest start line and headers of a request, as in most servers. Repeated headers
# take time that grows with the square of their number.
HEADER_BYTES: Final = 16 * 1024
# Memory that a connection may take besides the bytes of an incomplete request: the
# objects, a part of the next request in the process, and another one in the kernel.
CONNECTION_BYTES: Final = 48 * 1024
# Memory that a task of an open job takes, with its share of the job.
TASK_BYTES: Final = 1024
# Parts of the memory for incomplete requests, for tasks and for connections. A process
# that has no clients uses less than a third of the smallest machine.
INCOMPLETE_PART: Final = 1 / 8
TASK_PART: Final = 1 / 8
CONNECTION_PART: Final = 1 / 4
# Parts of the descriptors for callers and for each listener that callers don't use.
# The rest is for connections to the store, to targets, and between processes.
CALLER_PART: Final = 1 / 2
SIDE_PART: Final = 1 / 16
MAX_SIDE_CONNECTIONS: Final = 64
# Part of the descriptors for the connections of other processes of the fleet.
PEER_PART: Final = 1 / 4
MAX_PEER_CONNECTIONS: Final = 512
# Longest body at a listener that callers don't use; reports take about 1 KB.
SIDE_BODY_BYTES: Final = 64 * 1024


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of one HTTP server.

    :param max_connections: open connections at the same time.
    :param max_body_bytes: longest body of a request.
    """

    max_connections: int
    max_body_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What the machine gives a process.

    :param memory_mb: memory in MB.
    :param max_descriptors: open descriptors, including those for files.
    """

    memory_mb: float = 160
    max_descriptors: int = 4096

    @property
    def max_incomplete_bytes(self) -> int:
        """Bytes that all incomplete requests of the process may hold together."""
        return int(self.memory_mb * BYTES_PER_MB * INCOMPLETE_PART)

    def open_tasks(self, max_tasks_per_job: int) -> OpenTaskLimit:
        """Return the limit of tasks, which admits at least one job of any size."""
        by_memory = int(self.memory_mb * BYTES_PER_MB * TASK_PART / TASK_BYTES)
        return OpenTaskLimit(max(by_memory, 2 * max_tasks_per_job))

    @property
    def max_sockets(self) -> int:
        """Number of descriptors that are left for sockets and pipes."""
        return max(self.max_descriptors - FILE_DESCRIPTORS, 1)

    @property
    def max_peers(self) -> int:
        """Connections that other processes of the fleet may open to this one."""
        return max(min(int(self.max_sockets * PEER_PART), MAX_PEER_CONNECTIONS), 1)

    @property
    def side_server(self) -> ServerLimits:
        """Limits of a server that callers don't use, such as that of the metrics."""
        connections = min(int(self.max_sockets * SIDE_PART), MAX_SIDE_CONNECTIONS)
        return ServerLimits(max(connections, 1), SIDE_BODY_BYTES)

    def caller_server(self, max_body_bytes: int) -> ServerLimits:
        """Return the limits of the server for callers.

        :param max_body_bytes: longest body that the interface allows.
        """
        by_memory = self.memory_mb * BYTES_PER_MB * CONNECTION_PART / CONNECTION_BYTES
        connections = min(self.max_sockets * CALLER_PART, by_memory)
        return ServerLimits(max(int(connections), 1), max_body_bytes)
