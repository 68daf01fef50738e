"""Counters and histograms of held jobs."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import Final

from endivetally_config.operator_config import Service
from endivetally_core.events import EventLog
from endivetally_core.metrics import MetricDefinition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import Sample
from endivetally_policy.held import RunEnd

from endivetally_held.jobs import JobResponse

if TYPE_CHECKING:
    from endivetally_held.agent_connections import AgentConnections
    from endivetally_held.open_job import OpenJob

RESPONSES: Final = MetricDefinition(
    'endivetally_held_answers_total',
    'Answers to held jobs.',
    ('service', 'data_centre', 'result', 'reason'),
)
JOBS: Final = MetricDefinition(
    'endivetally_held_jobs_total',
    'Held jobs that were offered, admitted, refused or displaced.',
    ('service', 'priority', 'data_centre', 'outcome', 'reason'),
)
RESPONSE_SECONDS: Final = MetricDefinition(
    'endivetally_held_answer_seconds',
    'Seconds from the arrival of a held job to its answer.',
    ('service', 'data_centre', 'result'),
)
RUN_ENDS: Final = MetricDefinition(
    'endivetally_held_attempts_total',
    'Ends of attempts at tasks.',
    ('service', 'data_centre', 'end'),
)
EVACUATED: Final = MetricDefinition(
    'endivetally_held_evacuated',
    '1 while the process keeps tasks from a data centre because it is emptied.',
    ('data_centre',),
)
CONFINED: Final = MetricDefinition(
    'endivetally_held_confined',
    '1 while a service is confined to few targets because its tasks crash them.',
    ('service',),
)
EVENTS: Final = MetricDefinition(
    'endivetally_events_total', 'Events, written or not.', ('event',)
)
KIND_RATE: Final = MetricDefinition(
    'endivetally_held_kind_rate',
    'Run time on targets of a kind relative to the mean of their pool.',
    ('pool', 'kind'),
)
KIND_RUNS: Final = MetricDefinition(
    'endivetally_held_kind_rate_runs',
    'Runs that the rate of a kind of targets is based on.',
    ('pool', 'kind'),
)
DROPPED_EVENTS: Final = MetricDefinition(
    'endivetally_events_dropped_total',
    'Events that were not written, for want of budget or of a reader.',
    ('event',),
)


class EntryMetrics:
    """Counts responses and ended runs of an entry, by service and data centre."""

    def __init__(self, metrics: Metrics, data_centre: str) -> None:
        self._data_centre = data_centre
        self._responses = metrics.new_counter(RESPONSES)
        self._jobs = metrics.new_counter(JOBS)
        self._response_seconds = metrics.new_histogram(RESPONSE_SECONDS)
        self._run_ends = metrics.new_counter(RUN_ENDS)

    def count_job(self, open_job: 'OpenJob', outcome: str, reason: str = '') -> None:
        """Count a job that is offered, admitted, refused or displaced.

        A job that is refused or displaced after a wait was admitted before.
        """
        service = open_job.service
        priority = str(service.priority)
        self._jobs.increment(service.name, priority, self._data_centre, outcome, reason)

    def count_refusal(self, service: Service, refusal: JobResponse) -> None:
        """Count a job that is refused before its tasks are created."""
        name = service.name
        for outcome, reason in (('offered', ''), ('refused', refusal.reason)):
            self._jobs.increment(
                name, str(service.priority), self._data_centre, outcome, reason
            )
        result = refusal.result.value
        self._responses.increment(name, self._data_centre, result, refusal.reason)
        self._response_seconds.observe(0, name, self._data_centre, result)

    def count_response(
        self, open_job: 'OpenJob', response: JobResponse, age_s: float
    ) -> None:
        """Count a response.

        :param age_s: seconds since the job arrived.
        """
        name = open_job.service.name
        result = response.result.value
        self._responses.increment(name, self._data_centre, result, response.reason)
        self._response_seconds.observe(age_s, name, self._data_centre, result)

    def count_abandoned(self, open_job: 'OpenJob') -> None:
        """Count a job whose caller closed the connection before the response."""
        self._responses.increment(
            open_job.service.name, self._data_centre, 'abandoned', ''
        )

    def count_run_end(self, service: str, end: RunEnd) -> None:
        """Count an ended run of a task."""
        self._run_ends.increment(service, self._data_centre, end.value)


def add_evacuation_gauge(
    metrics: Metrics, list_states: Callable[[], Mapping[str, bool]]
) -> None:
    """Expose for each known data centre whether it is emptied.

    :param list_states: returns whether each data centre is emptied.
    """
    metrics.add_gauge(
        EVACUATED,
        lambda: [
            Sample(int(emptied), (name,)) for name, emptied in list_states().items()
        ],
    )


def add_confinement_gauge(
    metrics: Metrics, list_confined: Callable[[], Iterable[str]]
) -> None:
    """Expose the services that are confined.

    :param list_confined: returns their names.
    """
    metrics.add_gauge(
        CONFINED, lambda: [Sample(1, (service,)) for service in list_confined()]
    )


def add_rate_gauges(metrics: Metrics, connections: 'AgentConnections') -> None:
    """Expose the rate of each kind of targets and the runs that it is based on."""
    metrics.add_gauge(
        KIND_RATE,
        lambda: [
            Sample(each.rate, key) for key, each in connections.kind_rates.items()
        ],
    )
    metrics.add_gauge(
        KIND_RUNS,
        lambda: [
            Sample(each.runs, key) for key, each in connections.kind_rates.items()
        ],
    )


def add_event_counters(metrics: Metrics, events: EventLog) -> None:
    """Expose the number of events and of dropped events of each kind."""
    metrics.add_counter(
        EVENTS,
        lambda: [
            Sample(count, (event,)) for event, count in events.event_counts.items()
        ],
    )
    metrics.add_counter(
        DROPPED_EVENTS,
        lambda: [
            Sample(count, (event,)) for event, count in events.dropped_counts.items()
        ],
    )
