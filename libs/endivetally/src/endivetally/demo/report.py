"""Report of the demonstration and the checks that it must pass."""

from collections.abc import Mapping
from dataclasses import dataclass

from rich.table import Table

from endivetally.bench.messages import MessageOverhead
from endivetally.load.report import RequestReport
from endivetally.load.report import StartReport
from endivetally.load.responses import Verdict


@dataclass(frozen=True, slots=True)
class DemoReport:
    """Responses, task starts and message counts of a demonstration.

    :param overall: all requests together.
    :param by_service: the requests of each service.
    :param crashed: names of processes that exited without a signal from the fleet.
    """

    overall: RequestReport
    by_service: Mapping[str, RequestReport]
    starts: StartReport
    messages: MessageOverhead
    crashed: list[str]

    @property
    def lost(self) -> int:
        """Requests without a response, plus tasks that have a result but no start."""
        return self.overall.count(Verdict.LOST) + self.starts.missing

    @property
    def failed_checks(self) -> tuple[str, ...]:
        """Names of the checks that failed."""
        checks = {
            'all whole': self.overall.count(Verdict.COMPLETE) == self.overall.requests,
            'none failed': not self.overall.count(Verdict.FAILED),
            'none refused': not self.overall.count(Verdict.REFUSED),
            'none partial': not self.overall.count(Verdict.PARTIAL),
            'none lost': not self.lost,
            'none doubled': not self.starts.doubled,
            'no process crashed': not self.crashed,
            'none ran after a refusal': not self.starts.ran_after_refusal,
        }
        return tuple(name for name, holds in checks.items() if not holds)


def build_json_fields(report: DemoReport) -> dict[str, object]:
    """Return the fields of the ``--json`` output."""
    overall = report.overall
    return {
        'requests': overall.requests,
        'whole': overall.count(Verdict.COMPLETE),
        'failed': overall.count(Verdict.FAILED),
        'refused': overall.count(Verdict.REFUSED),
        'partial': overall.count(Verdict.PARTIAL),
        'lost': report.lost,
        'doubled': report.starts.doubled,
        'tasks': report.starts.tasks_done,
        'response_ratio_p50': overall.response_ratios.p50,
        'response_ratio_p99': overall.response_ratios.p99,
        'message_ratio': round(report.messages.message_ratio, 4),
        'control_ratio': round(report.messages.control_ratio, 4),
        'waste': dict(report.messages.excess),
        'codes': dict(overall.codes),
        'crashed': report.crashed,
        'broken_checks': list(report.failed_checks),
    }


def build_table(report: DemoReport) -> Table:
    """Return a table of the results for the terminal."""
    table = Table(title='endivetally demo')
    columns = ('requests of', 'sent', 'whole', 'failed', 'response/ideal p50', 'p99')
    for column in columns:
        table.add_column(column)
    for name, requests in (*report.by_service.items(), ('all', report.overall)):
        table.add_row(
            name,
            str(requests.requests),
            str(requests.count(Verdict.COMPLETE)),
            str(requests.count(Verdict.FAILED)),
            f'{requests.response_ratios.p50:.3f}',
            f'{requests.response_ratios.p99:.3f}',
        )
    table.caption = (
        f'lost {report.lost}, doubled {report.starts.doubled}, '
        f'messages over the least possible {report.messages.message_ratio:.3f}'
    )
    return table
