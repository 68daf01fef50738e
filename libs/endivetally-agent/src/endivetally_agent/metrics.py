"""Metrics that an agent exposes."""

import resource
from collections.abc import Callable
from typing import Final

from endivetally_core.metrics import MetricDefinition
from endivetally_core.metrics import Metrics
from endivetally_core.metrics import Sample

from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.config_store import ConfigStore
from endivetally_agent.counters import AgentCounters
from endivetally_agent.records import StartRecords
from endivetally_agent.task_manager import TaskManager

PREFIX: Final = 'endivetally_agent'
MS_PER_S: Final = 1000


def add_counters(metrics: Metrics, counters: AgentCounters) -> None:
    """Expose the counters of an agent."""
    exposed = (
        (MetricDefinition(f'{PREFIX}_starts_total', 'Tasks started.'), counters.starts),
        (
            MetricDefinition(
                f'{PREFIX}_refusals_total', 'Dispatches refused.', ('reason',)
            ),
            counters.refusals,
        ),
        (
            MetricDefinition(f'{PREFIX}_outcomes_total', 'Ends of tasks.', ('status',)),
            counters.outcomes,
        ),
        (
            MetricDefinition(f'{PREFIX}_duplicates_total', 'Dispatches seen before.'),
            counters.duplicates,
        ),
        (
            MetricDefinition(
                f'{PREFIX}_cancellations_total', 'Tasks cancelled by entries.'
            ),
            counters.cancellations,
        ),
        (
            MetricDefinition(f'{PREFIX}_joins_total', 'Introductions.', ('result',)),
            counters.joins,
        ),
        (
            MetricDefinition(
                f'{PREFIX}_table_failures_total', 'Failed reads of the table.'
            ),
            counters.table_failures,
        ),
        (
            MetricDefinition(
                f'{PREFIX}_credits_total',
                'Start credits granted outside of outcomes, or revoked.',
                ('action',),
            ),
            counters.credits,
        ),
    )
    for definition, counter in exposed:
        metrics.add_counter(definition, counter.samples)
    metrics.add_counter(
        MetricDefinition('process_cpu_seconds_total', 'Processor time.'),
        lambda: [Sample(_cpu_seconds())],
    )


def add_gauges(
    metrics: Metrics,
    admission: DispatchAdmission,
    records: StartRecords,
    tasks: TaskManager,
) -> None:
    """Expose the gauges of an agent."""
    _add_gauge(metrics, 'slots', 'Slots open for work.', lambda: admission.slots)
    _add_gauge(metrics, 'running', 'Tasks at the target.', lambda: admission.running)
    _add_gauge(metrics, 'records', 'Tasks remembered.', lambda: records.task_count)
    _add_gauge(
        metrics,
        'result_bytes',
        'Results held.',
        lambda: records.body_bytes,
    )
    _add_gauge(
        metrics,
        'run_seconds',
        'Average run time of a task.',
        lambda: tasks.usage.run_ms / MS_PER_S,
    )
    _add_gauge(
        metrics,
        'task_memory_mb',
        'Learned memory of a task.',
        lambda: tasks.usage.memory_mb,
    )


def add_config_version(metrics: Metrics, config_store: ConfigStore) -> None:
    """Expose the version of the operators' configuration."""
    metrics.add_gauge(
        MetricDefinition(
            'endivetally_text_version',
            "Version of the operators' text in force.",
        ),
        lambda: [Sample(config_store.version)],
    )


def _add_gauge(
    metrics: Metrics, name: str, documentation: str, read_value: Callable[[], float]
) -> None:
    metrics.add_gauge(
        MetricDefinition(f'{PREFIX}_{name}', documentation),
        lambda: [Sample(read_value())],
    )


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime
