"""Reconstructs the trace of one request from the logs of all processes."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from typing import Final

import msgspec
from endivetally_core.events import Event

# Fields that have a column of their own or do not concern the request.
_OMITTED_FIELDS: Final = frozenset(
    ('time', 'steady_s', 'process', 'incarnation', 'event')
)
_ARRIVAL_EVENTS: Final = frozenset((Event.JOB_RECEIVED, Event.JOB_REFUSED))
_COMPLETION_EVENTS: Final = frozenset(
    (Event.JOB_ANSWERED, Event.JOB_ABANDONED, Event.JOB_REFUSED)
)
_AGENT_EVENTS: Final = frozenset(
    (Event.RUN_STARTED, Event.RUN_ENDED, Event.RUN_REFUSED, Event.RUN_STOPPED)
)


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One logged event of the request.

    :param time: wall-clock time of the process that logged it, in seconds.
    """

    time: float
    process: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the event as one line for the terminal."""
        details = ' '.join(f'{name}={value}' for name, value in self.fields.items())
        return f'{self.time:.3f} {self.process:<18} {self.event:<16} {details}'


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """All logged events of a request, in order.

    :param gaps: descriptions of expected events that are not logged.
    """

    events: tuple[LoggedEvent, ...]
    gaps: tuple[str, ...]


def build_trace(identifier: str, lines: Iterable[str]) -> RequestTrace:
    """Collect the events of a request and sort them by wall-clock time.

    Wall clocks of different machines differ by some milliseconds, and by more when
    a clock is stepped, so the order is only reliable within one process.

    :param identifier: identifier of the job, as its caller knows it.
    :param lines: log lines of all processes, in any order.

    >>> line = '{"time":1,"process":"entry-1","event":"job_received","job":"5c0e"}'
    >>> build_trace('5c0e', [line]).gaps
    ('no answer: the entry exited, or its log lines were dropped',)
    """
    events = sorted(_find_events(identifier, lines), key=_time_of)
    return RequestTrace(tuple(events), tuple(_find_gaps(events)))


def _find_events(identifier: str, lines: Iterable[str]) -> Iterator[LoggedEvent]:
    for line in lines:
        fields = _decode(line) if identifier in line else {}
        task = str(fields.get('task', ''))
        if fields.get('job') == identifier or task.startswith(f'{identifier}/'):
            yield _logged_event(fields)


def _decode(line: str) -> dict[str, Any]:
    """Return the fields of a line; empty if it is truncated or holds no event."""
    start = max(line.find('{'), 0)
    try:
        return msgspec.json.decode(line[start:], type=dict[str, Any])
    except (ValueError, RecursionError):
        return {}


def _logged_event(fields: dict[str, Any]) -> LoggedEvent:
    return LoggedEvent(
        float(fields.get('time', 0)),
        str(fields.get('process', '?')),
        str(fields.get('event', '?')),
        {name: value for name, value in fields.items() if name not in _OMITTED_FIELDS},
    )


def _find_gaps(events: list[LoggedEvent]) -> Iterator[str]:
    event_names = {event.event for event in events}
    if not events:
        yield 'no line about this request: wrong identifier, or logs are missing'
        return
    if not event_names & _ARRIVAL_EVENTS:
        yield 'no arrival: the log of the entry is missing, or its lines were dropped'
    if not event_names & _COMPLETION_EVENTS:
        yield 'no answer: the entry exited, or its log lines were dropped'
    if Event.TASK_SENT in event_names and not event_names & _AGENT_EVENTS:
        yield 'no line of an agent: its log is missing, or the task never reached it'
    yield from _find_open_runs(events)


def _find_open_runs(events: list[LoggedEvent]) -> Iterator[str]:
    finished = _find_runs(events, Event.RUN_ENDED)
    finished |= _find_runs(events, Event.RUN_REFUSED)
    for task, run in sorted(_find_runs(events, Event.RUN_STARTED) - finished):
        yield f'no end of run {run} of task {task}: agent exited or disconnected'


def _find_runs(events: list[LoggedEvent], name: Event) -> set[tuple[str, int]]:
    return {
        (str(event.fields.get('task')), int(event.fields.get('run', 0)))
        for event in events
        if event.event == name
    }


def _time_of(event: LoggedEvent) -> float:
    return event.time
