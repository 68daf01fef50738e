"""Counters and histograms of the held path."""

from typing import TYPE_CHECKING
from typing import Final

from endivetally_core.events import EventLog
from endivetally_core.metrics import MetricDefinition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import Sample
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import JobResponse

if TYPE_CHECKING:
    from endivetally_held.open_job import Holding

ANSWERS: Final = MetricDefinition(
    'endivetally_held_answers_total',
    'Answers to held jobs.',
    ('service', 'data_centre', 'result', 'reason'),
)
ANSWER_SECONDS: Final = MetricDefinition(
    'endivetally_held_answer_seconds',
    'Seconds from the arrival of a held job to its answer.',
    ('service', 'data_centre', 'result'),
)
ATTEMPTS: Final = MetricDefinition(
    'endivetally_held_attempts_total',
    'Ends of attempts at tasks.',
    ('service', 'data_centre', 'end'),
)
EVENTS: Final = MetricDefinition(
    'endivetally_events_total', 'Events, written or not.', ('event',)
)
DROPPED: Final = MetricDefinition(
    'endivetally_events_dropped_total',
    'Events that were not written, for want of budget or of a reader.',
    ('event',),
)


class EntryMetrics:
    """Counts of an entry, by service and data centre."""

    def __init__(self, metrics: Metrics, data_centre: str) -> None:
        self._data_centre = data_centre
        self._answers = metrics.new_counter(ANSWERS)
        self._seconds = metrics.new_histogram(ANSWER_SECONDS)
        self._attempts = metrics.new_counter(ATTEMPTS)

    def answered(self, holding: 'Holding', answer: JobResponse, age_s: float) -> None:
        """Count an answer."""
        name = holding.service.name
        result = answer.result.value
        self._answers.increment(name, self._data_centre, result, answer.reason)
        self._seconds.observe(age_s, name, self._data_centre, result)

    def abandoned(self, holding: 'Holding') -> None:
        """Count a job whose caller left."""
        self._answers.increment(
            holding.service.name, self._data_centre, 'abandoned', ''
        )

    def attempt_ended(self, service: str, end: RunEnd) -> None:
        """Count the end of an attempt."""
        self._attempts.increment(service, self._data_centre, end.value)


def add_event_counters(metrics: Metrics, events: EventLog) -> None:
    """Expose how many events of each kind there were."""
    metrics.add_counter(
        EVENTS,
        lambda: [Sample(count, (event,)) for event, count in events.counts.items()],
    )
    metrics.add_counter(
        DROPPED,
        lambda: [Sample(count, (event,)) for event, count in events.dropped.items()],
    )
