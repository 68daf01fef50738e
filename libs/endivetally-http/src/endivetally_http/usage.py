"""What the clients of all servers of a process hold together."""

from typing import Final

from endivetally_core.metrics import MetricDefinition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import Sample
from endivetally_policy.clients import ProcessLimits

from endivetally_http.refusals import RefusalLog

REFUSALS: Final = MetricDefinition(
    'endivetally_clients_refused_total',
    'Requests that were refused, and connections that were closed, by a limit.',
    ('server', 'reason'),
)


class ClientUsage:
    """Shared by the servers of a process.

    :param refusal_log: receives what is refused by a limit.
    """

    def __init__(self, limits: ProcessLimits, refusal_log: RefusalLog) -> None:
        self.limits = limits
        self.refusal_log = refusal_log

    def add_metrics(self, metrics: Metrics) -> None:
        """Expose the refusals."""
        metrics.add_counter(
            REFUSALS,
            lambda: [
                Sample(count, key) for key, count in self.refusal_log.counts.items()
            ],
        )
