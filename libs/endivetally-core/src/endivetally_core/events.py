"""Events: one JSON line on standard output for each decision.

The lines are queued and written by a thread, so that a reader that stands still
never stops the event loop. A budget bounds their number.
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

# Lines a second for decisions on requests that are served. At 0.1 ms a line,
# written one by one, they cost 2% of a core.
ROUTINE_LINES_PER_S: Final = 200
# Lines a second for everything else; one line for each refusal of a crowd of
# 200 requests a second, and as much again for what the process believes.
NOTABLE_LINES_PER_S: Final = 400
# Lines that wait for a reader of standard output; about 1 MB.
QUEUED_LINES: Final = 4000


class Event(StrEnum):
    """The closed list of events."""

    PROCESS_STARTED = 'process_started'
    PROCESS_STOPPING = 'process_stopping'
    PROCESS_STOPPED = 'process_stopped'
    PROCESS_PAUSED = 'process_paused'
    SETTINGS_RELOADED = 'settings_reloaded'
    TABLE_UNAVAILABLE = 'table_lost'
    TABLE_AVAILABLE = 'table_regained'
    CHANGE_FEED_RESET = 'history_lost'
    CONFIG_APPLIED = 'text_in_force'
    CONFIG_REJECTED = 'text_ignored'
    ROW_IGNORED = 'row_ignored'
    ROW_WRITTEN = 'row_written'
    AGENT_LINKED = 'agent_linked'
    AGENT_LOST = 'agent_lost'
    AGENT_UNREACHABLE = 'agent_unreachable'
    AGENT_STATE_CHANGED = 'agent_state_changed'
    ENTRY_LINKED = 'entry_linked'
    ENTRY_LOST = 'entry_lost'
    TARGET_JOINED = 'target_joined'
    TARGET_DRAINING = 'target_draining'
    TARGET_LEFT = 'target_left'
    TARGET_UNRESPONSIVE = 'target_silent'
    TARGET_HEALTH_CHANGED = 'target_standing'
    REPORT_IGNORED = 'report_ignored'
    READINESS_CHANGED = 'readiness_changed'
    JOB_RECEIVED = 'job_received'
    JOB_REFUSED = 'job_refused'
    JOB_ANSWERED = 'job_answered'
    JOB_ABANDONED = 'job_abandoned'
    TASK_SENT = 'task_sent'
    TASK_REQUEUED = 'task_requeued'
    RUN_STARTED = 'run_started'
    RUN_REFUSED = 'run_refused'
    RUN_STOPPED = 'run_stopped'
    RUN_ENDED = 'run_ended'
    COMMAND_UNANSWERED = 'order_unanswered'
    LINES_DROPPED = 'lines_dropped'
    LIBRARY_WARNING = 'library_warning'
    UNEXPECTED_ERROR = 'unexpected_error'


# Written for each request that is served well; the first to go under load.
ROUTINE_EVENTS: Final = frozenset(
    (
        Event.JOB_RECEIVED,
        Event.TASK_SENT,
        Event.RUN_STARTED,
        Event.RUN_ENDED,
        Event.AGENT_STATE_CHANGED,
    )
)


# Result of an answer that is as routine as the request itself.
SERVED: Final = 'completed'


class LineRateLimiter:
    """Tokens for lines, refilled at a rate, with one second in hand.

    :param per_s: lines a second.
    """

    def __init__(
        self, per_s: float, clock: Callable[[], float] = monotonic_now
    ) -> None:
        self._per_s = per_s
        self._clock = clock
        self._tokens = per_s
        self._filled_at = clock()

    def try_acquire(self) -> bool:
        """Take a token if there is one."""
        now = self._clock()
        gained = (now - self._filled_at) * self._per_s
        self._tokens = min(self._tokens + gained, self._per_s)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class EventLog:
    """Writes events of one process.

    :param process: configured name of the process.
    :param incarnation: name of this start of it.
    :param write: takes a batch of lines; may block, it runs on a thread.
    """

    def __init__(
        self,
        process: str,
        incarnation: str,
        write: Callable[[bytes], None] | None = None,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self._process = process
        self._incarnation = incarnation
        self._write = write or _write_to_stdout
        self._routine = LineRateLimiter(ROUTINE_LINES_PER_S)
        self._notable = LineRateLimiter(NOTABLE_LINES_PER_S)
        self._lines: deque[bytes] = deque()
        self._ready = threading.Event()
        self._closed = False
        self._told_dropped = 0
        self._encoder = msgspec.json.Encoder()
        self._thread = threading.Thread(target=self._drain, daemon=True)
        self._thread.start()

    def emit(self, event: Event, **fields: Any) -> None:
        """Queue a line, or count it as dropped when the budget is used up.

        :param fields: what was decided, from which inputs, how old they were.
        """
        self.counts[event.value] += 1
        routine = event in ROUTINE_EVENTS or fields.get('result') == SERVED
        budget = self._routine if routine else self._notable
        if len(self._lines) >= QUEUED_LINES or not budget.try_acquire():
            self.dropped[event.value] += 1
            return
        self._tell_dropped()
        self._append(event, fields)

    def close(self, timeout_s: float = 0.3) -> None:
        """Write what is queued, for a bounded time."""
        self._closed = True
        self._ready.set()
        self._thread.join(timeout_s)

    def _tell_dropped(self) -> None:
        dropped = sum(self.dropped.values())
        if dropped > self._told_dropped + ROUTINE_LINES_PER_S:
            self._append(Event.LINES_DROPPED, {'total': dropped})
            self._told_dropped = dropped

    def _append(self, event: Event, fields: dict[str, Any]) -> None:
        line = {
            'steady_s': round(monotonic_now(), 4),
            'time': round(time.time(), 3),
            'process': self._process,
            'incarnation': self._incarnation,
            'event': event.value,
            **fields,
        }
        self._lines.append(b'%b\n' % self._encoder.encode(line))
        self._ready.set()

    def _drain(self) -> None:
        while not self._closed or self._lines:
            self._ready.wait()
            self._ready.clear()
            batch = []
            while self._lines:
                batch.append(self._lines.popleft())
            if batch:
                self._write(b''.join(batch))


class EventLogHandler(logging.Handler):
    """Passes the records of libraries on as events.

    :param events: takes them.
    """

    def __init__(self, events: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._events = events

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record with its traceback."""
        trace = record.exc_info and logging.Formatter().formatException(record.exc_info)
        self._events.emit(
            Event.LIBRARY_WARNING,
            logger=record.name,
            level=record.levelname,
            message=record.getMessage(),
            trace=trace or '',
        )


def redirect_logging(events: EventLog) -> None:
    """Send the records of all libraries to the events of this process."""
    logging.basicConfig(handlers=[EventLogHandler(events)], force=True)
    # Answers to callers have events of their own.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)


def _write_to_stdout(lines: bytes) -> None:
    sys.stdout.buffer.write(lines)
    sys.stdout.buffer.flush()
