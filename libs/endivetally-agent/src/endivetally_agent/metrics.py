"""Metrics of the agent in the Prometheus text format."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class Metric:
    """One metric with its samples.

    :param kind: ``counter`` or ``gauge``.
    :param label: name of the only label, if samples have one.
    :param samples: value for each value of the label; '' without a label.
    """

    name: str
    kind: str
    help_text: str
    samples: Mapping[str, float] = field(default_factory=dict)
    label: str = ''

    def render(self) -> str:
        """Return the metric's lines."""
        lines = [
            f'# HELP {self.name} {self.help_text}',
            f'# TYPE {self.name} {self.kind}',
        ]
        lines.extend(
            f'{self.name}{self._labels(label_value)} {sample}'
            for label_value, sample in self.samples.items()
        )
        return '\n'.join(lines)

    def _labels(self, label_value: str) -> str:
        if not self.label:
            return ''
        return f'{{{self.label}="{label_value}"}}'


def counter(name: str, help_text: str, count: float) -> Metric:
    """Return a counter without labels."""
    return Metric(name, 'counter', help_text, {'': count})


def gauge(name: str, help_text: str, level: float) -> Metric:
    """Return a gauge without labels."""
    return Metric(name, 'gauge', help_text, {'': level})


def render(metrics: Iterable[Metric]) -> str:
    """Return the text of an answer to ``/metrics``.

    >>> print(render([gauge('agent_slots', 'Open slots.', 8)]), end='')
    # HELP agent_slots Open slots.
    # TYPE agent_slots gauge
    agent_slots 8
    """
    return ''.join(f'{metric.render()}\n' for metric in metrics)
