"""Compares the messages between processes with the minimum that tasks need."""

import re
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

MESSAGES_METRIC: Final = 'endivetally_messages_total'
CONTROL_MESSAGES: Final = frozenset(
    (
        'AgentState',
        'EntryState',
        'AgentNews',
        'EntryNews',
        'TextRequest',
        'TextUpdate',
    ),
)
TASK_MESSAGES: Final = ('Dispatch', 'Outcome')
_SAMPLE_PATTERN: Final = re.compile(
    rf'^{MESSAGES_METRIC}{{(?P<labels>[^}}]*)}}\s+(?P<value>\S+)',
    re.MULTILINE,
)
_CLASS_PATTERN: Final = re.compile('message="([^"]*)"')


@dataclass(frozen=True, slots=True)
class MessageOverhead:
    """Messages of a run, compared with the minimum that its tasks need.

    :param minimum: one dispatch and one outcome for each task that ran.
    :param excess: messages above the minimum, by class; the sum is only negative when
        the counters of a dead process are missing.
    :param control: heartbeats, state and configuration messages, by class.
    """

    minimum: int
    excess: Mapping[str, int]
    control: Mapping[str, int]

    @property
    def message_ratio(self) -> float:
        """Messages other than control messages, divided by the minimum."""
        return _ratio(self.minimum + sum(self.excess.values()), self.minimum)

    @property
    def control_ratio(self) -> float:
        """Control messages, divided by the minimum."""
        return _ratio(sum(self.control.values()), self.minimum)


def parse_message_counts(exposition: str) -> Counter[str]:
    """Return how many messages a process sent, by class.

    :param exposition: response to ``/metrics`` in the Prometheus text format.

    >>> parse_message_counts('endivetally_messages_total{message="Grant"} 3')
    Counter({'Grant': 3})
    """
    counts: Counter[str] = Counter()
    for sample in _SAMPLE_PATTERN.finditer(exposition):
        label = _CLASS_PATTERN.search(sample['labels'])
        if label:
            counts[label[1]] += round(float(sample['value']))
    return counts


def measure_message_overhead(
    sent: Mapping[str, int], tasks_done: int
) -> MessageOverhead:
    """Split the messages of a run into the minimum, the excess and control messages.

    :param sent: messages that all processes sent, by class.
    :param tasks_done: number of distinct tasks that ran.

    >>> measure_message_overhead({'Dispatch': 3, 'Outcome': 2, 'Grant': 1}, 2).excess
    {'Dispatch': 1, 'Grant': 1}
    """
    control = {name: sent[name] for name in sorted(sent) if name in CONTROL_MESSAGES}
    excess = {name: sent[name] for name in sorted(sent) if name not in CONTROL_MESSAGES}
    for task_message in TASK_MESSAGES:
        excess[task_message] = excess.get(task_message, 0) - tasks_done
    return MessageOverhead(
        minimum=len(TASK_MESSAGES) * tasks_done,
        excess={name: count for name, count in excess.items() if count},
        control=control,
    )


def _ratio(count: int, minimum: int) -> float:
    return count / minimum if minimum else 0
