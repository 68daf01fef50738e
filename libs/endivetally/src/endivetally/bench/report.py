"""What the bench reports for one scheduler, as data and as a table."""

from collections.abc import Mapping
from dataclasses import dataclass

from rich.table import Table

from endivetally.bench.messages import MessageOverhead
from endivetally.load.report import Percentiles
from endivetally.load.report import RequestReport
from endivetally.load.report import StartReport
from endivetally.load.responses import Verdict


@dataclass(frozen=True, slots=True)
class UsefulWork:
    """Useful work of a run.

    :param goodput: tasks of whole answers in time, per second of the load.
    :param useful_slot_share: their run time over the time of all slots.
    """

    goodput: float
    useful_slot_share: float


@dataclass(frozen=True, slots=True)
class RunReport:
    """Everything measured in one run.

    :param overhead_ms: the wire's minimum that was used.
    :param cpu_ms_per_task: milliseconds of processor time per task, by role.
    :param send_delays_ms: by how much the generator was late.
    :param crashed: names of processes that exited of their own accord.
    :param offered_load: load that arrived, over all slots.
    :param fcfs_ratios: response ratios of one queue for all slots without messages.
    """

    overall: RequestReport
    by_service: Mapping[str, RequestReport]
    starts: StartReport
    messages: MessageOverhead
    useful_work: UsefulWork
    overhead_ms: float
    cpu_ms_per_task: Mapping[str, float]
    send_delays_ms: Percentiles
    crashed: list[str]
    fcfs_ratios: Mapping[str, Percentiles]
    offered_load: float


def request_fields(report: RequestReport) -> dict[str, object]:
    """Return the fields of the JSON output for one kind of request."""
    return {
        'requests': report.requests,
        'answered': round(report.share(Verdict.COMPLETE), 5),
        'refused': round(report.share(Verdict.REFUSED), 5),
        'failed': round(report.share(Verdict.FAILED), 5),
        'partial': report.count(Verdict.PARTIAL),
        'lost': report.count(Verdict.LOST),
        'codes': dict(report.codes),
        'response_ratio_p50': report.response_ratios.p50,
        'response_ratio_p99': report.response_ratios.p99,
        'response_ratio_p999': report.response_ratios.p999,
        'refusal_ms_p99': report.refusals_ms.p99,
        'refusal_ms_max': report.refusals_ms.maximum,
    }


def run_fields(report: RunReport) -> dict[str, object]:
    """Return the fields of the JSON output for one run."""
    return {
        **request_fields(report.overall),
        'message_ratio': round(report.messages.message_ratio, 4),
        'control_ratio': round(report.messages.control_ratio, 4),
        'offered_load': round(report.offered_load, 4),
        'goodput': round(report.useful_work.goodput, 2),
        'useful_share': round(report.useful_work.useful_slot_share, 4),
        'tasks_done': report.starts.tasks_done,
        'doubled': report.starts.doubled,
        'repeated_idempotent': report.starts.repeated,
        'ran_after_refusal': report.starts.ran_after_refusal,
        'missing_starts': report.starts.missing,
        'least_messages': report.messages.minimum,
        'waste': dict(report.messages.excess),
        'control': dict(report.messages.control),
        'cpu_ms_per_task': {
            role: round(cpu_ms, 3) for role, cpu_ms in report.cpu_ms_per_task.items()
        },
        'wire_ms': round(report.overhead_ms, 3),
        'generator_late_ms_p99': report.send_delays_ms.p99,
        'crashed': report.crashed,
        'kinds': {
            name: {**request_fields(kind), **_floor_fields(report, name)}
            for name, kind in report.by_service.items()
        },
    }


def report_table(title: str, report: RunReport) -> Table:
    """Return a table of one run for the terminal."""
    table = Table(title=title)
    for column in ('requests of', 'sent', 'whole', 'refused', 'failed', 'lost'):
        table.add_column(column)
    for column in ('ratio p50', 'p99', 'p99.9', 'refusal ms p99'):
        table.add_column(column, justify='right')
    for name, kind in (*report.by_service.items(), ('all', report.overall)):
        table.add_row(name, *_row(kind))
    messages = report.messages
    table.caption = (
        f'messages over least {messages.message_ratio:.3f}, '
        f'control {messages.control_ratio:.3f}, '
        f'goodput {report.useful_work.goodput:.1f} tasks/s, '
        f'doubled {report.starts.doubled}; waste {dict(messages.excess)}'
    )
    return table


def _floor_fields(report: RunReport, service: str) -> dict[str, object]:
    floor = report.fcfs_ratios.get(service)
    if floor is None:
        return {}
    return {
        'floor_ratio_p50': floor.p50,
        'floor_ratio_p99': floor.p99,
    }


def _row(kind: RequestReport) -> list[str]:
    ratios = kind.response_ratios
    unanswered = kind.count(Verdict.LOST) + kind.count(Verdict.PARTIAL)
    return [
        str(kind.requests),
        f'{kind.share(Verdict.COMPLETE):.2%}',
        f'{kind.share(Verdict.REFUSED):.2%}',
        f'{kind.share(Verdict.FAILED):.2%}',
        str(unanswered),
        f'{ratios.p50:.3f}',
        f'{ratios.p99:.3f}',
        f'{ratios.p999:.3f}',
        f'{kind.refusals_ms.p99:.1f}',
    ]
