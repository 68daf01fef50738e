"""Refused and closed connections: responses, counts and log lines."""

import enum
import logging
from abc import ABC
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import msgspec
from endivetally_core.clock import monotonic_now
from endivetally_core.events import Event
from endivetally_core.events import EventLog

# Between two log lines for the same reason; the later one has the count.
LOG_INTERVAL_S: Final = 10.0

_log = logging.getLogger(__name__)


class Refusal(enum.StrEnum):
    """Why a request was refused or a connection closed; the values are metric labels.

    The request was not complete in any of these cases, so nothing of it has run.
    """

    BODY_TOO_LARGE = 'body_too_large'
    BODY_IN_SMALL_PARTS = 'body_in_small_parts'
    HEADERS_TOO_LARGE = 'headers_too_large'
    TOO_SLOW = 'too_slow'
    NO_MEMORY = 'no_memory'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    UNREAD_RESPONSE = 'unread_response'
    ACCEPT_FAILED = 'accept_failed'


_STATUS_LINES: Final[Mapping[Refusal, str]] = {
    Refusal.BODY_TOO_LARGE: '413 Content Too Large',
    Refusal.BODY_IN_SMALL_PARTS: '400 Bad Request',
    Refusal.TOO_SLOW: '408 Request Timeout',
    Refusal.NO_MEMORY: '503 Service Unavailable',
    Refusal.TOO_MANY_CONNECTIONS: '503 Service Unavailable',
}


def encode_refusal_body(refusal: Refusal) -> bytes:
    """Return the reason and that nothing has run, as JSON."""
    return msgspec.json.encode({'error': refusal.value, 'ran': 'not_run'})


def encode_refusal(refusal: Refusal, body: bytes) -> bytes:
    """Return the response to a request that is not complete.

    :param body: JSON that says that nothing has run.
    """
    status = _STATUS_LINES[refusal]
    lines = [
        f'HTTP/1.1 {status}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        'Connection: close',
    ]
    if status.startswith('503'):
        lines.append('Retry-After: 1')
    return '\r\n'.join((*lines, '', '')).encode() + body


@dataclass(frozen=True, slots=True)
class RefusalReport:
    """Refusals of a server for one reason, since the last report of them.

    :param address: address of the last client.
    :param count: number of refusals.
    :param size: bytes that the last client had sent of its request.
    :param connections: open connections of the server.
    """

    server: str
    reason: Refusal
    address: str
    count: int
    size: int
    connections: int


class RefusalLog(ABC):
    """Counts refusals, and reports the first of a period and the number of others.

    ``counts`` has the refusals by name of the server and reason.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float] = monotonic_now) -> None:
        self.counts: Counter[tuple[str, ...]] = Counter()
        self._clock = clock
        self._reported_at: dict[tuple[str, Refusal], float] = {}
        self._unreported: Counter[tuple[str, Refusal]] = Counter()

    def record(
        self, server: str, reason: Refusal, address: str, size: int, connections: int
    ) -> None:
        """Count a refusal, and report it unless one was reported recently."""
        key = (server, reason)
        self.counts[server, reason.value] += 1
        self._unreported[key] += 1
        now = self._clock()
        reported_at = self._reported_at.get(key)
        if reported_at is not None and now - reported_at < LOG_INTERVAL_S:
            return
        self._reported_at[key] = now
        count = self._unreported.pop(key)
        self.write(RefusalReport(server, reason, address, count, size, connections))

    @abstractmethod
    def write(self, report: RefusalReport) -> None:
        """Write one log line."""


class EventRefusalLog(RefusalLog):
    """Writes the reports to the event log of the process."""

    def __init__(
        self, events: EventLog, clock: Callable[[], float] = monotonic_now
    ) -> None:
        super().__init__(clock)
        self._events = events

    def write(self, report: RefusalReport) -> None:
        """Write one event."""
        self._events.emit(
            Event.CLIENT_REFUSED,
            server=report.server,
            reason=report.reason.value,
            address=report.address,
            count=report.count,
            bytes=report.size,
            connections=report.connections,
        )


class LibraryRefusalLog(RefusalLog):
    """Writes the reports with the standard library's logging."""

    def write(self, report: RefusalReport) -> None:
        """Write one warning."""
        _log.warning(
            'client refused',
            extra={
                'server': report.server,
                'reason': report.reason.value,
                'address': report.address,
                'count': report.count,
                'bytes': report.size,
                'connections': report.connections,
            },
        )
