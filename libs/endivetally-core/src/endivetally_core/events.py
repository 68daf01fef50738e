"""Event log: one JSON line on standard output for each decision.

The lines are queued and written by a background thread, so a blocked reader of
standard output never blocks the event loop. Rate limits bound the number of lines.
"""

import logging
import sys
import threading
import time
from collections import Counter
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any
from typing import Final

import msgspec

from endivetally_core.clock import monotonic_now

# Lines per second for routine events. At 0.1 ms for each line, written one by one,
# they cost 2% of a core.
ROUTINE_LINES_PER_S: Final = 200
# Lines per second for all other events: one for each refusal while 200 requests
# per second are refused, and as many for changes in the process's view of its peers.
NOTABLE_LINES_PER_S: Final = 400
# Bounds the memory used while standard output is blocked; about 1 MB.
MAX_QUEUED_LINES: Final = 4000
# Fields of a longer line are shortened. Peers and other writers choose what some hold.
MAX_LINE_BYTES: Final = 4096
MAX_FIELD_CHARACTERS: Final = 1000


class Event(StrEnum):
    """Every event; the values are written to the log and must not change."""

    PROCESS_STARTED = 'process_started'
    PROCESS_STOPPING = 'process_stopping'
    PROCESS_STOPPED = 'process_stopped'
    PROCESS_PAUSED = 'process_paused'
    SETTINGS_RELOADED = 'settings_reloaded'
    SETTINGS_UNUSABLE = 'settings_unusable'
    TABLE_UNAVAILABLE = 'table_lost'
    TABLE_AVAILABLE = 'table_regained'
    CHANGE_FEED_RESET = 'history_lost'
    CONFIG_APPLIED = 'text_in_force'
    CONFIG_CLAMPED = 'text_clamped'
    CONFIG_REJECTED = 'text_ignored'
    EVACUATION_APPLIED = 'evacuation_applied'
    EVACUATION_DISPUTED = 'evacuation_disputed'
    ROW_IGNORED = 'row_ignored'
    ROW_WRITTEN = 'row_written'
    AGENT_LINKED = 'agent_linked'
    AGENT_LOST = 'agent_lost'
    AGENT_UNREACHABLE = 'agent_unreachable'
    AGENT_STATE_CHANGED = 'agent_state_changed'
    ENTRY_LINKED = 'entry_linked'
    ENTRY_LOST = 'entry_lost'
    TARGET_JOINED = 'target_joined'
    TARGET_RESTARTED = 'target_restarted'
    TARGET_DRAINING = 'target_draining'
    TARGET_LEFT = 'target_left'
    TARGET_UNRESPONSIVE = 'target_silent'
    TARGET_CRASH = 'target_crash'
    TARGET_CAPACITY_CHANGED = 'target_capacity'
    TARGET_HEALTH_CHANGED = 'target_standing'
    REPORT_IGNORED = 'report_ignored'
    REPORT_OVERDUE = 'report_overdue'
    REPORT_FIELD_IGNORED = 'report_field_ignored'
    RATE_CHANGED = 'rate_changed'
    READINESS_CHANGED = 'readiness_changed'
    CRASH_ASSESSED = 'crash_assessed'
    SERVICE_CONFINED = 'service_confined'
    JOB_RECEIVED = 'job_received'
    JOB_REFUSED = 'job_refused'
    JOB_DISPLACED = 'job_displaced'
    JOB_ANSWERED = 'job_answered'
    JOB_ABANDONED = 'job_abandoned'
    TASK_SENT = 'task_sent'
    TASK_REQUEUED = 'task_requeued'
    RUN_STARTED = 'run_started'
    RUN_REFUSED = 'run_refused'
    RUN_STOPPED = 'run_stopped'
    RUN_ENDED = 'run_ended'
    ENDS_WAITING = 'ends_waiting'
    RUN_REAPPEARED = 'run_reappeared'
    STOP_ACCEPTED = 'stop_accepted'
    RENEWAL_PAUSED = 'renewal_paused'
    COMMAND_UNANSWERED = 'order_unanswered'
    RESPONSE_NOT_UNDERSTOOD = 'response_not_understood'
    CLIENT_REFUSED = 'client_refused'
    LINES_DROPPED = 'lines_dropped'
    LIBRARY_WARNING = 'library_warning'
    UNEXPECTED_ERROR = 'unexpected_error'


# Frequent events of requests that are served normally. They have the lower rate
# limit, so they are dropped first under load.
ROUTINE_EVENTS: Final = frozenset(
    (
        Event.JOB_RECEIVED,
        Event.TASK_SENT,
        Event.RUN_STARTED,
        Event.RUN_ENDED,
        Event.AGENT_STATE_CHANGED,
    )
)


# Value of the ``result`` field that marks any event as routine: its request was
# served normally.
ROUTINE_RESULT: Final = 'completed'


class LineRateLimiter:
    """Token bucket that limits the rate of lines.

    :param per_s: lines per second, and the largest burst of lines.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self, per_s: float, clock: Callable[[], float] = monotonic_now
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._refilled_at = clock()

    def try_acquire(self) -> bool:
        """Take a token and return true, or return false if there is none."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._per_s
        self._tokens = min(self._tokens + refill, self._per_s)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Event log of one process.

    ``event_counts`` counts all events by name, and ``dropped_counts`` those that
    were not written.

    :param process: configured name of the process.
    :param incarnation: unique name of this run of the process.
    :param write: writes a batch of lines; it may block, because only the background
        thread calls it.
    """

    def __init__(
        self,
        process: str,
        incarnation: str,
        write: Callable[[bytes], None] | None = None,
    ) -> None:
        self.event_counts: Counter[str] = Counter()
        self.dropped_counts: Counter[str] = Counter()
        self._process = process
        self._incarnation = incarnation
        self._write = write or _write_to_stdout
        self._routine_limiter = LineRateLimiter(ROUTINE_LINES_PER_S)
        self._notable_limiter = LineRateLimiter(NOTABLE_LINES_PER_S)
        self._lines: deque[bytes] = deque()
        self._wakeup = threading.Event()
        self._closed = False
        self._reported_dropped = 0
        self._encoder = msgspec.json.Encoder()
        self._thread = threading.Thread(target=self._write_queued_lines, daemon=True)
        self._thread.start()

    def emit(self, event: Event, **fields: Any) -> None:
        """Queue a line; drop and count it if the rate limit or the queue is exhausted.

        :param fields: the decision, its inputs and how old they were.
        """
        self.event_counts[event.value] += 1
        routine = event in ROUTINE_EVENTS or fields.get('result') == ROUTINE_RESULT
        limiter = self._routine_limiter if routine else self._notable_limiter
        if len(self._lines) >= MAX_QUEUED_LINES or not limiter.try_acquire():
            self.dropped_counts[event.value] += 1
            return
        self._report_dropped_lines()
        self._enqueue_line(event, fields)

    def close(self, timeout_s: float = 0.3) -> None:
        """Write the queued lines.

        :param timeout_s: longest wait for the background thread, in seconds.
        """
        self._closed = True
        self._wakeup.set()
        self._thread.join(timeout_s)

    def _report_dropped_lines(self) -> None:
        dropped = sum(self.dropped_counts.values())
        if dropped > self._reported_dropped + ROUTINE_LINES_PER_S:
            self._enqueue_line(Event.LINES_DROPPED, {'total': dropped})
            self._reported_dropped = dropped

    def _enqueue_line(self, event: Event, fields: dict[str, Any]) -> None:
        line = {
            'steady_s': round(monotonic_now(), 4),
            'time': round(time.time(), 3),
            'process': self._process,
            'incarnation': self._incarnation,
            'event': event.value,
            **fields,
        }
        try:
            encoded = self._encoder.encode(line)
        except (TypeError, ValueError):
            # No text of a peer or a library may end the work that logs it.
            line = {key: ascii(field) for key, field in line.items()}
            encoded = self._encoder.encode(line)
        if len(encoded) > MAX_LINE_BYTES:
            shortened = {key: _shorten(field) for key, field in line.items()}
            encoded = self._encoder.encode(shortened)
        self._lines.append(b'%b\n' % encoded)
        self._wakeup.set()

    def _write_queued_lines(self) -> None:
        while not self._closed or self._lines:
            self._wakeup.wait()
            self._wakeup.clear()
            batch = []
            while self._lines:
                batch.append(self._lines.popleft())
            if batch:
                self._write(b''.join(batch))


class EventLogHandler(logging.Handler):
    """Writes the log records of libraries to the event log.

    :param events: event log that receives the records.
    """

    def __init__(self, events: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Add a log record and its traceback to the event log."""
        trace = record.exc_info and logging.Formatter().formatException(record.exc_info)
        self._events.emit(
            Event.LIBRARY_WARNING,
            logger=record.name,
            level=record.levelname,
            message=record.getMessage(),
            trace=trace or '',
        )


def redirect_logging(events: EventLog) -> None:
    """Send the log records of all libraries to the event log of this process."""
    logging.basicConfig(handlers=[EventLogHandler(events)], force=True)
    # Events already record the responses to callers.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)


def _shorten(field: Any) -> Any:
    """Return a field as it is, or the start and the end of its text if it is long."""
    text = ascii(field)
    if len(text) <= MAX_FIELD_CHARACTERS:
        return field
    part = MAX_FIELD_CHARACTERS // 2
    return f'{text[:part]}...{text[-part:]}'


def _write_to_stdout(lines: bytes) -> None:
    sys.stdout.buffer.write(lines)
    sys.stdout.buffer.flush()
