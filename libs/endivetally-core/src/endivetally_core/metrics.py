"""Prometheus metrics of one process.

Code on the hot path updates a `LabelledCounter`, a `LabelledHistogram` or plain
integers. ``aioprometheus`` formats the labels only when ``/metrics`` is scraped.
"""

import bisect
import itertools
from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from typing import Final

from aioprometheus import collectors
from aioprometheus.renderer import render

from endivetally_core.links import LinkCounters

# Longer values of labels are cut. Peers and other writers choose some of them.
MAX_LABEL_CHARACTERS: Final = 200
# Characters of a label value that the Prometheus text format requires to be escaped;
# aioprometheus writes values as they are.
_LABEL_ESCAPES: Final = str.maketrans({'\\': r'\\', '"': r'\"', '\n': r'\n'})

SECONDS_BUCKETS: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
    30,
)


@dataclass(frozen=True, slots=True)
class Sample:
    """One value of a metric.

    :param label_values: values of the labels, in the order of the metric's label
        names.
    """

    value: float
    label_values: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Exposition:
    """Metrics in the Prometheus text format, for an HTTP response."""

    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """Name, help text and label names of a metric.

    :param name: follows the Prometheus naming conventions.
    :param documentation: text of the ``HELP`` line.
    """

    name: str
    documentation: str
    label_names: tuple[str, ...] = ()

    def pair_labels(self, values: Iterable[str]) -> dict[str, str]:
        """Map the label names to their values, as they are written."""
        return dict(zip(self.label_names, map(_escape_label, values), strict=True))


class LabelledCounter:
    """Counts events by combination of label values."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, ...]] = Counter()

    def increment(self, *labels: str, amount: float = 1) -> None:
        """Add an amount to the counter with these label values."""
        self.counts[labels] += amount  # type: ignore[assignment]

    def samples(self) -> list[Sample]:
        """Return the current counts."""
        return [Sample(count, labels) for labels, count in self.counts.items()]


class LabelledHistogram:
    """Counts durations in buckets, by combination of label values.

    :param bounds: upper bounds of the buckets in seconds, ascending.
    """

    def __init__(self, bounds: tuple[float, ...] = SECONDS_BUCKETS) -> None:
        self.bounds = bounds
        self._counts: dict[tuple[str, ...], list[int]] = {}
        self._sums: Counter[tuple[str, ...]] = Counter()

    def observe(self, seconds: float, *labels: str) -> None:
        """Count one duration.

        :param seconds: the duration, in seconds.
        :param labels: label values.
        """
        counts = self._counts.get(labels)
        if counts is None:
            counts = [0 for _ in range(len(self.bounds) + 1)]
            self._counts[labels] = counts
        counts[bisect.bisect_left(self.bounds, seconds)] += 1
        self._sums[labels] += seconds  # type: ignore[assignment]

    def cumulate(self) -> list[tuple[tuple[str, ...], dict[float | str, float]]]:
        """Return cumulative buckets, count and sum for each combination of labels."""
        return [(labels, self._cumulate(labels)) for labels in self._counts]

    def _cumulate(self, labels: tuple[str, ...]) -> dict[float | str, float]:
        totals = list(itertools.accumulate(self._counts[labels]))
        buckets: dict[float | str, float] = dict(
            zip((*map(float, self.bounds), float('inf')), totals, strict=True),
        )
        buckets['count'] = totals[-1]
        buckets['sum'] = self._sums[labels]
        return buckets


class Metrics:
    """Registry of all metrics of one process."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self._collectors: list[Callable[[], None]] = []

    def add_collector(self, collector: Callable[[], None]) -> None:
        """Register a function that updates metrics before each scrape."""
        self._collectors.append(collector)

    def refresh(self) -> None:
        """Call all collectors, so that the metrics have their current values."""
        for collector in self._collectors:
            collector()

    def add_counter(
        self,
        definition: MetricDefinition,
        read_samples: Callable[[], Iterable[Sample]],
    ) -> None:
        """Expose a counter whose samples are read at each scrape."""
        counter = collectors.Counter(
            definition.name,
            definition.documentation,
            registry=self.registry,
        )
        self.add_collector(lambda: _set_samples(counter, definition, read_samples()))

    def add_gauge(
        self,
        definition: MetricDefinition,
        read_samples: Callable[[], Iterable[Sample]],
    ) -> None:
        """Expose a gauge whose samples are read at each scrape."""
        gauge = collectors.Gauge(
            definition.name,
            definition.documentation,
            registry=self.registry,
        )
        self.add_collector(lambda: _set_samples(gauge, definition, read_samples()))

    def new_counter(self, definition: MetricDefinition) -> LabelledCounter:
        """Expose a counter that the caller increments."""
        counter = LabelledCounter()
        self.add_counter(definition, counter.samples)
        return counter

    def new_histogram(self, definition: MetricDefinition) -> LabelledHistogram:
        """Expose a histogram to which the caller adds durations."""
        histogram = LabelledHistogram()
        _CumulativeHistogram(definition, histogram, self.registry)
        return histogram

    def add_link_counters(self, counters: LinkCounters) -> None:
        """Expose the traffic counters of the process's links."""
        self.add_counter(
            MetricDefinition(
                'endivetally_messages_total',
                'Messages posted to links.',
                ('message',),
            ),
            lambda: [
                Sample(count, (kind,))
                for kind, count in counters.posted_messages.items()
            ],
        )
        self.add_counter(
            MetricDefinition('endivetally_frames_total', 'Frames sent on links.'),
            lambda: [Sample(counters.sent_frames)],
        )
        self.add_counter(
            MetricDefinition(
                'endivetally_bytes_total', 'Bytes of frames sent on links.'
            ),
            lambda: [Sample(counters.sent_bytes)],
        )
        self.add_counter(
            MetricDefinition(
                'endivetally_received_frames_total',
                'Frames received on links.',
            ),
            lambda: [Sample(counters.received_frames)],
        )
        self.add_counter(
            MetricDefinition(
                'endivetally_received_bytes_total',
                'Bytes of frames received on links.',
            ),
            lambda: [Sample(counters.received_bytes)],
        )
        self.add_counter(
            MetricDefinition(
                'endivetally_malformed_frames_total',
                'Received frames that did not decode.',
            ),
            lambda: [Sample(counters.malformed_frames)],
        )


def render_metrics(metrics: Metrics) -> Exposition:
    """Return the current metrics in the Prometheus text format."""
    metrics.refresh()
    body, headers = render(metrics.registry, [])
    return Exposition(body, headers['Content-Type'])


class _CumulativeHistogram(collectors.Histogram):
    """Exposes a `LabelledHistogram`; avoids a label lookup for each observation."""

    def __init__(
        self,
        definition: MetricDefinition,
        histogram: LabelledHistogram,
        registry: collectors.Registry,
    ) -> None:
        super().__init__(definition.name, definition.documentation, registry=registry)
        self._definition = definition
        self._histogram = histogram

    def get_all(self) -> list[tuple[dict[str, str], Any]]:
        """Return the labels and buckets of each combination of label values."""
        return [
            (self._definition.pair_labels(labels), buckets)
            for labels, buckets in self._histogram.cumulate()
        ]


def _escape_label(label_value: str) -> str:
    return label_value[:MAX_LABEL_CHARACTERS].translate(_LABEL_ESCAPES)


def _set_samples(
    collector: collectors.Counter | collectors.Gauge,
    definition: MetricDefinition,
    samples: Iterable[Sample],
) -> None:
    collector.values.clear()
    for sample in samples:
        collector.set(definition.pair_labels(sample.label_values), sample.value)
