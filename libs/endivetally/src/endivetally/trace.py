"""The story of one request, put together from the logs of all processes."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from typing import Final

import msgspec
from endivetally_core.events import Event

# Fields that stand in their own columns, or say nothing about the request.
_SHOWN: Final = frozenset(('time', 'steady_s', 'process', 'incarnation', 'event'))
_ARRIVALS: Final = frozenset((Event.JOB_RECEIVED, Event.JOB_REFUSED))
_ENDS: Final = frozenset((Event.JOB_ANSWERED, Event.JOB_ABANDONED, Event.JOB_REFUSED))
_TASK_EVENTS: Final = frozenset(
    (Event.RUN_STARTED, Event.RUN_ENDED, Event.RUN_REFUSED, Event.RUN_STOPPED)
)


@dataclass(frozen=True, slots=True)
class Moment:
    """One line about the request.

    :param time: time of day at the process that wrote it, in seconds.
    """

    time: float
    process: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        """Return the line as people read it."""
        details = ' '.join(f'{name}={value}' for name, value in self.fields.items())
        return f'{self.time:.3f} {self.process:<18} {self.event:<16} {details}'


@dataclass(frozen=True, slots=True)
class Story:
    """Everything that the logs tell about a request.

    :param gaps: what should have been logged and was not found.
    """

    moments: tuple[Moment, ...]
    gaps: tuple[str, ...]


def tell_story(identifier: str, lines: Iterable[str]) -> Story:
    """Put the lines about a request in order.

    Times of day differ between machines by some milliseconds, on days on which
    clocks jump by more; within one process the order is certain.

    :param identifier: of the job, as its caller knows it.
    :param lines: of the logs of all processes, in any order.

    >>> line = '{"time":1,"process":"entry-1","event":"job_received","job":"5c0e"}'
    >>> tell_story('5c0e', [line]).gaps
    ('no answer: the entry ended, or its lines were dropped',)
    """
    moments = sorted(_moments_of(identifier, lines), key=_time_of)
    return Story(tuple(moments), tuple(_find_gaps(moments)))


def _moments_of(identifier: str, lines: Iterable[str]) -> Iterator[Moment]:
    for line in lines:
        fields = _decode(line) if identifier in line else {}
        task = str(fields.get('task', ''))
        if fields.get('job') == identifier or task.startswith(f'{identifier}/'):
            yield _moment_of(fields)


def _decode(line: str) -> dict[str, Any]:
    """Return the fields of a line; none for one that is cut or no event."""
    start = max(line.find('{'), 0)
    try:
        return msgspec.json.decode(line[start:], type=dict[str, Any])
    except (ValueError, RecursionError):
        return {}


def _moment_of(fields: dict[str, Any]) -> Moment:
    return Moment(
        float(fields.get('time', 0)),
        str(fields.get('process', '?')),
        str(fields.get('event', '?')),
        {name: value for name, value in fields.items() if name not in _SHOWN},
    )


def _find_gaps(moments: list[Moment]) -> Iterator[str]:
    events = {moment.event for moment in moments}
    if not moments:
        yield 'no line about this request: wrong identifier, or logs are missing'
        return
    if not events & _ARRIVALS:
        yield 'no arrival: the log of its entry is missing, or its lines were dropped'
    if not events & _ENDS:
        yield 'no answer: the entry ended, or its lines were dropped'
    if Event.TASK_SENT in events and not events & _TASK_EVENTS:
        yield 'no line of an agent: its log is missing, or the order never arrived'
    yield from _find_open_runs(moments)


def _find_open_runs(moments: list[Moment]) -> Iterator[str]:
    over = _runs_with(moments, Event.RUN_ENDED)
    over |= _runs_with(moments, Event.RUN_REFUSED)
    for task, run in sorted(_runs_with(moments, Event.RUN_STARTED) - over):
        yield f'no end of run {run} of task {task}: its agent ended or was cut off'


def _runs_with(moments: list[Moment], event: Event) -> set[tuple[str, int]]:
    return {
        (str(moment.fields.get('task')), int(moment.fields.get('run', 0)))
        for moment in moments
        if moment.event == event
    }


def _time_of(moment: Moment) -> float:
    return moment.time
