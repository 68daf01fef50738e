"""Metrics of one process, read from plain counts when they are exposed.

Hot code increments a `LabelledCounter`, a `LabelledHistogram` or its own
integers; labels are formatted by ``aioprometheus`` only when ``/metrics`` is
read.
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

    :param label_values: label values in the order of the metric's label names.
    """

    value: float
    label_values: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Exposition:
    """Metrics as an HTTP answer."""

    body: bytes
    content_type: str


@dataclass(frozen=True, slots=True)
class MetricDefinition:
    """Name, help line and label names of a metric, by Prometheus conventions."""

    name: str
    documentation: str
    label_names: tuple[str, ...] = ()

    def pair_labels(self, values: Iterable[str]) -> dict[str, str]:
        """Return label names with their values."""
        return dict(zip(self.label_names, values, strict=True))


class LabelledCounter:
    """A counter for each combination of label values."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, ...]] = Counter()

    def increment(self, *labels: str, amount: float = 1) -> None:
        """Add to the counter with these label values."""
        self.counts[labels] += amount  # type: ignore[assignment]

    def samples(self) -> list[Sample]:
        """Return the current counts."""
        return [Sample(count, labels) for labels, count in self.counts.items()]


class LabelledHistogram:
    """A histogram of seconds for each combination of label values.

    :param bounds: upper bounds of the buckets, ascending.
    """

    def __init__(self, bounds: tuple[float, ...] = SECONDS_BUCKETS) -> None:
        self.bounds = bounds
        self._counts: dict[tuple[str, ...], list[int]] = {}
        self._sums: Counter[tuple[str, ...]] = Counter()

    def observe(self, seconds: float, *labels: str) -> None:
        """Count one observation."""
        counts = self._counts.get(labels)
        if counts is None:
            counts = [0 for _ in range(len(self.bounds) + 1)]
            self._counts[labels] = counts
        counts[bisect.bisect_left(self.bounds, seconds)] += 1
        self._sums[labels] += seconds  # type: ignore[assignment]

    def cumulate(self) -> list[tuple[tuple[str, ...], dict[float | str, float]]]:
        """Return cumulative buckets, count and sum for each combination."""
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
    """The metrics of one process."""

    def __init__(self) -> None:
        self.registry = collectors.Registry()
        self._collectors: list[Callable[[], None]] = []

    def add_collector(self, collector: Callable[[], None]) -> None:
        """Call a function before each exposition."""
        self._collectors.append(collector)

    def refresh(self) -> None:
        """Read the current values of all metrics."""
        for collector in self._collectors:
            collector()

    def add_counter(
        self,
        name: MetricDefinition,
        read: Callable[[], Iterable[Sample]],
    ) -> None:
        """Expose a counter whose samples are read at each exposition."""
        counter = collectors.Counter(
            name.name,
            name.documentation,
            registry=self.registry,
        )
        self.add_collector(lambda: _set_samples(counter, name, read()))

    def add_gauge(
        self,
        name: MetricDefinition,
        read: Callable[[], Iterable[Sample]],
    ) -> None:
        """Expose a gauge whose samples are read at each exposition."""
        gauge = collectors.Gauge(
            name.name,
            name.documentation,
            registry=self.registry,
        )
        self.add_collector(lambda: _set_samples(gauge, name, read()))

    def new_counter(self, name: MetricDefinition) -> LabelledCounter:
        """Expose a counter that the caller increments."""
        counter = LabelledCounter()
        self.add_counter(name, counter.samples)
        return counter

    def new_histogram(self, name: MetricDefinition) -> LabelledHistogram:
        """Expose a histogram of seconds that the caller feeds."""
        histogram = LabelledHistogram()
        _CumulativeHistogram(name, histogram, self.registry)
        return histogram

    def add_link_counters(self, counters: LinkCounters) -> None:
        """Expose what the links of the process send."""
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
    """Exposes a `LabelledHistogram` without a label lookup per observation."""

    def __init__(
        self,
        name: MetricDefinition,
        histogram: LabelledHistogram,
        registry: collectors.Registry,
    ) -> None:
        super().__init__(name.name, name.documentation, registry=registry)
        self._name = name
        self._histogram = histogram

    def get_all(self) -> list[tuple[dict[str, str], Any]]:
        """Return label names and values with their buckets."""
        return [
            (self._name.pair_labels(labels), buckets)
            for labels, buckets in self._histogram.cumulate()
        ]


def _set_samples(
    collector: collectors.Counter | collectors.Gauge,
    name: MetricDefinition,
    samples: Iterable[Sample],
) -> None:
    collector.values.clear()
    for sample in samples:
        collector.set(name.pair_labels(sample.label_values), sample.value)
