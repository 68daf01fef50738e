"""Lists the metrics of an agent."""

import resource
from typing import Final

from endivetally_core.links import LinkCounters

from endivetally_agent.counters import AgentCounters
from endivetally_agent.gate import Gate
from endivetally_agent.metrics import Metric
from endivetally_agent.metrics import counter
from endivetally_agent.metrics import gauge
from endivetally_agent.records import StartRecords
from endivetally_agent.tasks import TaskManager
from endivetally_agent.texts import TextStore

PREFIX: Final = 'endivetally_agent'


class AgentReport:
    """Reads the parts of an agent for ``/metrics``."""

    def __init__(
        self,
        gate: Gate,
        records: StartRecords,
        tasks: TaskManager,
        counters: AgentCounters,
        links: LinkCounters,
        texts: TextStore,
    ) -> None:
        self._gate = gate
        self._records = records
        self._tasks = tasks
        self._counters = counters
        self._links = links
        self._texts = texts

    def list_metrics(self) -> list[Metric]:
        """Return all metrics with their current values."""
        return self._task_metrics() + self._level_metrics() + self._link_metrics()

    def _task_metrics(self) -> list[Metric]:
        counters = self._counters
        return [
            counter(f'{PREFIX}_starts_total', 'Tasks started.', counters.starts),
            Metric(
                f'{PREFIX}_refusals_total',
                'counter',
                'Dispatches refused.',
                dict(counters.refusals),
                'reason',
            ),
            Metric(
                f'{PREFIX}_outcomes_total',
                'counter',
                'Started tasks that ended.',
                dict(counters.outcomes),
                'status',
            ),
            Metric(
                f'{PREFIX}_credits_total',
                'counter',
                'Start credits sent alone or revoked.',
                dict(counters.credits),
                'action',
            ),
            counter(
                f'{PREFIX}_duplicates_total',
                'Dispatches seen before.',
                counters.duplicates,
            ),
            counter(
                f'{PREFIX}_cancellations_total',
                'Tasks that entries cancelled.',
                counters.cancellations,
            ),
            counter(f'{PREFIX}_joins_total', 'Joins answered.', counters.joins),
            counter(
                f'{PREFIX}_join_failures_total',
                'Joins that failed.',
                counters.join_failures,
            ),
            counter(
                f'{PREFIX}_table_failures_total',
                'Reads of the table that failed.',
                counters.table_failures,
            ),
        ]

    def _level_metrics(self) -> list[Metric]:
        usage = self._tasks.usage
        cpu = resource.getrusage(resource.RUSAGE_SELF)
        return [
            gauge(f'{PREFIX}_slots', 'Slots open for work.', self._gate.slots),
            gauge(f'{PREFIX}_running', 'Tasks at the target.', self._gate.running),
            gauge(f'{PREFIX}_records', 'Tasks remembered.', self._records.bindings),
            gauge(
                f'{PREFIX}_result_bytes',
                'Results held for their owners.',
                self._records.body_bytes,
            ),
            gauge(
                'endivetally_text_version',
                "Version of the operators' text in force.",
                self._texts.version,
            ),
            gauge(f'{PREFIX}_run_ms', 'Average run time of a task.', usage.run_ms),
            gauge(
                f'{PREFIX}_task_memory_mb', 'Learned memory of a task.', usage.memory_mb
            ),
            counter(
                'process_cpu_seconds_total',
                'Processor time.',
                cpu.ru_utime + cpu.ru_stime,
            ),
        ]

    def _link_metrics(self) -> list[Metric]:
        links = self._links
        return [
            Metric(
                'endivetally_messages_total',
                'counter',
                'Messages posted to links.',
                dict(links.messages),
                'message',
            ),
            counter('endivetally_frames_total', 'Frames sent.', links.frames),
            counter('endivetally_bytes_total', 'Bytes of frames sent.', links.bytes),
            counter(
                'endivetally_malformed_frames_total',
                'Received frames that did not decode.',
                links.malformed,
            ),
        ]
