"""Tests of the metrics registry and its exposition."""

import pytest
from endivetally_core.links import LinkCounters
from endivetally_core.metrics import MetricDefinition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import Sample
from endivetally_core.metrics import render_metrics


def _render_lines(metrics):
    return render_metrics(metrics).body.decode().splitlines()


class TestCounter:
    def test_counts_are_kept_by_label_values(self):
        metrics = Metrics()
        definition = MetricDefinition('x_total', 'Documentation.', ('service', 'code'))
        counter = metrics.new_counter(definition)
        counter.increment('lookup', 'ok')
        counter.increment('lookup', 'ok', amount=2)
        counter.increment('sweep', 'overloaded')
        assert _render_lines(metrics) == [
            '# HELP x_total Documentation.',
            '# TYPE x_total counter',
            'x_total{code="ok",service="lookup"} 3',
            'x_total{code="overloaded",service="sweep"} 1',
        ]

    def test_link_counters_are_exposed(self):
        metrics = Metrics()
        counters = LinkCounters()
        metrics.add_link_counters(counters)
        counters.posted_messages['Grant'] += 2
        counters.sent_bytes += 10
        lines = _render_lines(metrics)
        assert 'endivetally_messages_total{message="Grant"} 2' in lines
        assert 'endivetally_bytes_total 10' in lines


class TestGauge:
    def test_removed_samples_are_no_longer_exposed(self):
        metrics = Metrics()
        running = {'lookup': 2, 'sweep': 1}
        metrics.add_gauge(
            MetricDefinition('running', 'Tasks.', ('service',)),
            lambda: [Sample(count, (name,)) for name, count in running.items()],
        )
        assert 'running{service="sweep"} 1' in _render_lines(metrics)
        running.pop('sweep')
        running['lookup'] = 5
        assert _render_lines(metrics)[2:] == ['running{service="lookup"} 5']


class TestHistogram:
    @pytest.mark.parametrize(
        ('seconds', 'first_bucket'),
        [(0, '0.005'), (0.005, '0.005'), (0.006, '0.01'), (30, '30.0'), (31, '+Inf')],
    )
    def test_buckets_are_cumulative(self, seconds, first_bucket):
        metrics = Metrics()
        histogram = metrics.new_histogram(
            MetricDefinition('x_seconds', 'S.', ('service',))
        )
        histogram.observe(seconds, 'lookup')
        counted = [
            line.partition('le="')[2].partition('"')[0]
            for line in _render_lines(metrics)
            if '_bucket' in line and line.endswith(' 1.0')
        ]
        assert counted[0] == first_bucket
        assert counted[-1] == '+Inf'

    def test_sum_and_count_are_exposed(self):
        metrics = Metrics()
        histogram = metrics.new_histogram(MetricDefinition('x_seconds', 'Seconds.'))
        histogram.observe(0.5)
        histogram.observe(0.25)
        assert 'x_seconds_count 2.0' in _render_lines(metrics)
        assert 'x_seconds_sum 0.75' in _render_lines(metrics)

    def test_content_type_is_plain_text(self):
        assert render_metrics(Metrics()).content_type.startswith('text/plain')


@pytest.mark.parametrize(
    ('label', 'written'),
    [
        ('a"b', r'a\"b'),
        ('a\nx_total 7', r'a\nx_total 7'),
        ('a\\', r'a\\'),
        ('x' * 100_000, 'x' * 200),
    ],
)
def test_label_values_of_other_writers_leave_the_page_readable(label, written):
    """A row of an agent with such a data centre broke the page of each entry."""
    metrics = Metrics()
    counter = metrics.new_counter(MetricDefinition('x_total', 'Text.', ('name',)))
    counter.increment(label)
    assert _render_lines(metrics)[2:] == [f'x_total{{name="{written}"}} 1']
