"""What the bench reports for one scheduler, as data and as a table."""

from collections.abc import Mapping
from dataclasses import dataclass

from rich.table import Table

from endivetally.bench.messages import MessageCosts
from endivetally.load.report import KindReport
from endivetally.load.report import Percentiles
from endivetally.load.report import StartReport
from endivetally.load.responses import Verdict


@dataclass(frozen=True, slots=True)
class Capacity:
    """Useful work of a run.

    :param goodput: tasks of whole answers in time, per second of the load.
    :param useful_share: their run time over the time of all slots.
    """

    goodput: float
    useful_share: float


@dataclass(frozen=True, slots=True)
class RunReport:
    """Everything measured in one run.

    :param wire_ms: the wire's minimum that was used.
    :param cpu_ms_per_task: milliseconds of processor time per task, by role.
    :param late_ms: by how much the generator was late.
    :param crashed: names of processes that exited of their own accord.
    :param offered: load that arrived, over all slots.
    :param floors: response ratios of one queue for all slots without messages.
    """

    overall: KindReport
    kinds: Mapping[str, KindReport]
    starts: StartReport
    costs: MessageCosts
    capacity: Capacity
    wire_ms: float
    cpu_ms_per_task: Mapping[str, float]
    late_ms: Percentiles
    crashed: list[str]
    floors: Mapping[str, Percentiles]
    offered: float


def kind_fields(report: KindReport) -> dict[str, object]:
    """Return the fields of the JSON output for one kind of request."""
    return {
        'requests': report.requests,
        'answered': round(report.share(Verdict.WHOLE), 5),
        'refused': round(report.share(Verdict.REFUSED), 5),
        'failed': round(report.share(Verdict.FAILED), 5),
        'partial': report.count(Verdict.PARTIAL),
        'lost': report.count(Verdict.LOST),
        'codes': dict(report.codes),
        'response_ratio_p50': report.ratios.p50,
        'response_ratio_p99': report.ratios.p99,
        'response_ratio_p999': report.ratios.p999,
        'refusal_ms_p99': report.refusals_ms.p99,
        'refusal_ms_max': report.refusals_ms.highest,
    }


def run_fields(report: RunReport) -> dict[str, object]:
    """Return the fields of the JSON output for one run."""
    return {
        **kind_fields(report.overall),
        'message_ratio': round(report.costs.message_ratio, 4),
        'control_ratio': round(report.costs.control_ratio, 4),
        'offered_load': round(report.offered, 4),
        'goodput': round(report.capacity.goodput, 2),
        'useful_share': round(report.capacity.useful_share, 4),
        'tasks_done': report.starts.tasks_done,
        'doubled': report.starts.doubled,
        'repeated_idempotent': report.starts.repeated,
        'ran_after_refusal': report.starts.ran_after_refusal,
        'missing_starts': report.starts.missing,
        'least_messages': report.costs.least,
        'waste': dict(report.costs.waste),
        'control': dict(report.costs.control),
        'cpu_ms_per_task': {
            role: round(cpu_ms, 3) for role, cpu_ms in report.cpu_ms_per_task.items()
        },
        'wire_ms': round(report.wire_ms, 3),
        'generator_late_ms_p99': report.late_ms.p99,
        'crashed': report.crashed,
        'kinds': {
            name: {**kind_fields(kind), **_floor_fields(report, name)}
            for name, kind in report.kinds.items()
        },
    }


def report_table(title: str, report: RunReport) -> Table:
    """Return a table of one run for the terminal."""
    table = Table(title=title)
    for column in ('requests of', 'sent', 'whole', 'refused', 'failed', 'lost'):
        table.add_column(column)
    for column in ('ratio p50', 'p99', 'p99.9', 'refusal ms p99'):
        table.add_column(column, justify='right')
    for name, kind in (*report.kinds.items(), ('all', report.overall)):
        table.add_row(name, *_row(kind))
    costs = report.costs
    table.caption = (
        f'messages over least {costs.message_ratio:.3f}, '
        f'control {costs.control_ratio:.3f}, '
        f'goodput {report.capacity.goodput:.1f} tasks/s, '
        f'doubled {report.starts.doubled}; waste {dict(costs.waste)}'
    )
    return table


def _floor_fields(report: RunReport, service: str) -> dict[str, object]:
    floor = report.floors.get(service)
    if floor is None:
        return {}
    return {
        'floor_ratio_p50': floor.p50,
        'floor_ratio_p99': floor.p99,
    }


def _row(kind: KindReport) -> list[str]:
    ratios = kind.ratios
    unanswered = kind.count(Verdict.LOST) + kind.count(Verdict.PARTIAL)
    return [
        str(kind.requests),
        f'{kind.share(Verdict.WHOLE):.2%}',
        f'{kind.share(Verdict.REFUSED):.2%}',
        f'{kind.share(Verdict.FAILED):.2%}',
        str(unanswered),
        f'{ratios.p50:.3f}',
        f'{ratios.p99:.3f}',
        f'{ratios.p999:.3f}',
        f'{kind.refusals_ms.p99:.1f}',
    ]
