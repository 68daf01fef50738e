"""Prometheus metrics and error-budget counts of an entry."""

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

# Label values for a request to an unknown service and for a successful request.
UNKNOWN_SERVICE: Final = 'unknown'
OK_CODE: Final = 'ok'


class EntryMetrics:
    """Counts requests and exposes the metrics of an entry.

    :param counters: counters of all links of the process.
    """

    def __init__(self, counters: 'LinkCounters') -> None:
        self.open_requests = 0
        self.burn = BurnRecorder()
        self.registry = Metrics()
        self.registry.add_link_counters(counters)
        self._requests = self.registry.new_counter(
            MetricDefinition(
                'endivetally_requests_total',
                'Answered requests by service and code.',
                ('service', 'code'),
            ),
        )
        self._seconds = self.registry.new_histogram(
            MetricDefinition(
                'endivetally_request_seconds',
                'Time from a request to its answer.',
                ('service',),
            ),
        )

    def record_response(
        self,
        service: 'Service | None',
        kind: 'ErrorKind | None',
        seconds: float,
    ) -> None:
        """Count one response.

        :param service: ``None`` when the request named a service that does not
            exist.
        :param kind: ``None`` when the request succeeded.
        :param seconds: time from the request to its response.
        """
        name = service.name if service else UNKNOWN_SERVICE
        self._requests.increment(name, kind.value if kind else OK_CODE)
        self._seconds.observe(seconds, name)
        if service is not None:
            self.burn.record_response(name, kind, seconds, service.objective)

    def add_gauge(self, name: str, help_text: str, read: 'Callable[[], float]') -> None:
        """Add a gauge.

        :param help_text: shown next to the values of the gauge.
        :param read: returns the value; called at each scrape.
        """
        self.registry.add_gauge(
            MetricDefinition(name, help_text), lambda: [Sample(read())]
        )
