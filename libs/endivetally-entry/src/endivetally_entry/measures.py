"""Counts of an entry: requests, tasks and service-level burn."""

from typing import TYPE_CHECKING
from typing import Final

from endivetally_core.burn import BurnRecorder
from endivetally_core.metrics import MetricDefinition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import Sample

if TYPE_CHECKING:
    from collections.abc import Callable

    from endivetally_config.operator_config import Service
    from endivetally_core.errors import ErrorKind
    from endivetally_core.links import LinkCounters

# Label values of requests for no service, and of whole answers.
UNKNOWN_SERVICE: Final = 'unknown'
WHOLE: Final = 'ok'


class Measures:
    """What an entry counts and exposes.

    :param counters: counts of the links of the process.
    """

    def __init__(self, counters: 'LinkCounters') -> None:
        self.open_requests = 0
        self.burn = BurnRecorder()
        self.metrics = Metrics()
        self.metrics.add_link_counters(counters)
        self._requests = self.metrics.new_counter(
            MetricDefinition(
                'endivetally_requests_total',
                'Answered requests by service and code.',
                ('service', 'code'),
            ),
        )
        self._seconds = self.metrics.new_histogram(
            MetricDefinition(
                'endivetally_request_seconds',
                'Time from a request to its answer.',
                ('service',),
            ),
        )

    def answered(
        self,
        service: 'Service | None',
        kind: 'ErrorKind | None',
        seconds: float,
    ) -> None:
        """Count one answer.

        :param service: ``None`` when the request named none that exists.
        :param kind: ``None`` for a whole answer.
        """
        name = service.name if service else UNKNOWN_SERVICE
        self._requests.increment(name, kind.value if kind else WHOLE)
        self._seconds.observe(seconds, name)
        if service is not None:
            self.burn.record(name, kind, seconds, service.objective)

    def add_gauge(self, name: str, text: str, read: 'Callable[[], float]') -> None:
        """Expose a value that is read at each exposition."""
        self.metrics.add_gauge(MetricDefinition(name, text), lambda: [Sample(read())])
