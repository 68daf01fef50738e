"""Counts messages between processes and compares them with the least possible."""

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
_SAMPLE: Final = re.compile(
    rf'^{MESSAGES_METRIC}{{(?P<labels>[^}}]*)}}\s+(?P<value>\S+)',
    re.MULTILINE,
)
_LABEL: Final = re.compile('message="([^"]*)"')


@dataclass(frozen=True, slots=True)
class MessageCosts:
    """Messages of a run against the least possible number.

    :param least: one dispatch and one outcome for each task done.
    :param waste: messages above the least, by class; never negative in sum
        unless counters of a dead process are missing.
    :param control: heartbeats and state, by class.
    """

    least: int
    waste: Mapping[str, int]
    control: Mapping[str, int]

    @property
    def message_ratio(self) -> float:
        """Messages but for control, over the least possible."""
        return _share(self.least + sum(self.waste.values()), self.least)

    @property
    def control_ratio(self) -> float:
        """Control messages over the least possible."""
        return _share(sum(self.control.values()), self.least)


def parse_messages(exposition: str) -> Counter[str]:
    """Return the messages that a process sent, by class.

    :param exposition: text of its ``/metrics``.

    >>> parse_messages('endivetally_messages_total{message="Grant"} 3')
    Counter({'Grant': 3})
    """
    counts: Counter[str] = Counter()
    for sample in _SAMPLE.finditer(exposition):
        label = _LABEL.search(sample['labels'])
        if label:
            counts[label[1]] += round(float(sample['value']))
    return counts


def message_costs(sent: Mapping[str, int], tasks_done: int) -> MessageCosts:
    """Split the messages of a run into least, waste and control.

    :param sent: messages of all processes, by class.
    :param tasks_done: distinct tasks that ran.

    >>> message_costs({'Dispatch': 3, 'Outcome': 2, 'Grant': 1}, 2).waste
    {'Dispatch': 1, 'Grant': 1}
    """
    control = {name: sent[name] for name in sorted(sent) if name in CONTROL_MESSAGES}
    waste = {name: sent[name] for name in sorted(sent) if name not in CONTROL_MESSAGES}
    for task_message in TASK_MESSAGES:
        waste[task_message] = waste.get(task_message, 0) - tasks_done
    return MessageCosts(
        least=len(TASK_MESSAGES) * tasks_done,
        waste={name: count for name, count in waste.items() if count},
        control=control,
    )


def _share(count: int, least: int) -> float:
    return count / least if least else 0
