"""What the clients of all servers of a process hold together."""

import asyncio
from collections import Counter
from typing import Final

from endivetally_core.clock import monotonic_now
from endivetally_core.metrics import MetricDefinition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import Sample
from endivetally_policy.clients import IncompleteRequests
from endivetally_policy.clients import ProcessLimits

from endivetally_http.client import Client
from endivetally_http.refusals import Refusal
from endivetally_http.refusals import RefusalLog

REFUSALS: Final = MetricDefinition(
    'endivetally_clients_refused_total',
    'Requests that were refused, and connections that were closed, by a limit.',
    ('server', 'reason'),
)
CONNECTIONS: Final = MetricDefinition(
    'endivetally_client_connections', 'Open connections of clients.', ('server',)
)
INCOMPLETE_BYTES: Final = MetricDefinition(
    'endivetally_incomplete_request_bytes',
    'Bytes of requests that have not arrived completely.',
)


class ClientUsage:
    """Shared by the servers of a process.

    ``connections`` counts the open connections by the name of the server.

    :param refusal_log: receives what is refused by a limit.
    """

    def __init__(self, limits: ProcessLimits, refusal_log: RefusalLog) -> None:
        self.limits = limits
        self.refusal_log = refusal_log
        self.connections: Counter[str] = Counter()
        self.incomplete: IncompleteRequests[Client] = IncompleteRequests(
            limits.max_incomplete_bytes
        )
        self._eviction_scheduled = False

    def count_read(self, client: Client, size: int) -> None:
        """Count bytes of an incomplete request; evict some soon above the limit."""
        self.incomplete.add(client, size, monotonic_now())
        if self.incomplete.is_full and not self._eviction_scheduled:
            # The request of these bytes may be complete.
            self._eviction_scheduled = True
            asyncio.get_running_loop().call_soon(self.evict_requests)

    def evict_requests(self) -> None:
        """Refuse the requests that hold the most memory while all hold too much."""
        self._eviction_scheduled = False
        for client in self.incomplete.select_victims(monotonic_now()):
            client.refuse(Refusal.NO_MEMORY)

    def refuse_overdue(self) -> None:
        """Refuse the requests that arrive too slowly."""
        for client in self.incomplete.find_overdue(monotonic_now()):
            client.refuse(Refusal.TOO_SLOW)

    def add_metrics(self, metrics: Metrics) -> None:
        """Expose the refusals, the connections and the bytes that clients hold."""
        metrics.add_counter(
            REFUSALS,
            lambda: [
                Sample(count, key) for key, count in self.refusal_log.counts.items()
            ],
        )
        metrics.add_gauge(
            CONNECTIONS,
            lambda: [
                Sample(count, (name,)) for name, count in self.connections.items()
            ],
        )
        metrics.add_gauge(
            INCOMPLETE_BYTES, lambda: [Sample(self.incomplete.total_bytes)]
        )
