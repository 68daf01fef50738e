"""Report on one bench run, as JSON fields and as a table."""

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
    """Work whose results reached callers while requests still arrived.

    :param goodput: tasks per second whose complete response came in that time.
    :param useful_slot_share: run time of these tasks divided by the time of all slots.
    """

    goodput: float
    useful_slot_share: float


@dataclass(frozen=True, slots=True)
class RunReport:
    """Measurements of one run.

    :param overall: all requests together.
    :param by_service: the requests of each service.
    :param overhead_ms: minimum overhead of a request, part of the ideal response time.
    :param cpu_ms_per_task: CPU time in milliseconds per task, by role.
    :param send_delays_ms: how late the load generator sent the requests.
    :param crashed: names of processes that exited without a signal from the fleet.
    :param offered_load: run time of all requests divided by the time of all slots.
    :param fcfs_ratios: response ratios of one first-come, first-served queue for
        all slots of a pool, by service.
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


def build_request_fields(report: RequestReport) -> dict[str, object]:
    """Return the fields of the JSON output for a group of requests."""
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


def build_run_fields(report: RunReport) -> dict[str, object]:
    """Return the fields of the JSON output for one run."""
    return {
        **build_request_fields(report.overall),
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
            service: {**build_request_fields(requests), **_fcfs_fields(report, service)}
            for service, requests in report.by_service.items()
        },
    }


def build_table(title: str, report: RunReport) -> Table:
    """Return a table of one run for the terminal."""
    table = Table(title=title)
    for column in ('requests of', 'sent', 'whole', 'refused', 'failed', 'lost'):
        table.add_column(column)
    for column in ('ratio p50', 'p99', 'p99.9', 'refusal ms p99'):
        table.add_column(column, justify='right')
    for name, requests in (*report.by_service.items(), ('all', report.overall)):
        table.add_row(name, *_format_cells(requests))
    messages = report.messages
    table.caption = (
        f'messages over least {messages.message_ratio:.3f}, '
        f'control {messages.control_ratio:.3f}, '
        f'goodput {report.useful_work.goodput:.1f} tasks/s, '
        f'doubled {report.starts.doubled}; waste {dict(messages.excess)}'
    )
    return table


def _fcfs_fields(report: RunReport, service: str) -> dict[str, object]:
    ratios = report.fcfs_ratios.get(service)
    if ratios is None:
        return {}
    return {
        'floor_ratio_p50': ratios.p50,
        'floor_ratio_p99': ratios.p99,
    }


def _format_cells(requests: RequestReport) -> list[str]:
    ratios = requests.response_ratios
    lost = requests.count(Verdict.LOST) + requests.count(Verdict.PARTIAL)
    return [
        str(requests.requests),
        f'{requests.share(Verdict.COMPLETE):.2%}',
        f'{requests.share(Verdict.REFUSED):.2%}',
        f'{requests.share(Verdict.FAILED):.2%}',
        str(lost),
        f'{ratios.p50:.3f}',
        f'{ratios.p99:.3f}',
        f'{ratios.p999:.3f}',
        f'{requests.refusals_ms.p99:.1f}',
    ]
