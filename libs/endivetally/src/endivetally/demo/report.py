"""What the demonstration reports and which checks must hold."""

from collections.abc import Mapping
from dataclasses import dataclass

from rich.table import Table

from endivetally.bench.messages import MessageOverhead
from endivetally.load.report import RequestReport
from endivetally.load.report import StartReport
from endivetally.load.responses import Verdict


@dataclass(frozen=True, slots=True)
class DemoReport:
    """Answers, starts and messages of a demonstration.

    :param crashed: names of processes that exited of their own accord.
    """

    overall: RequestReport
    kinds: Mapping[str, RequestReport]
    starts: StartReport
    costs: MessageOverhead
    crashed: list[str]

    @property
    def lost(self) -> int:
        """Requests without an answer, and tasks answered but never started."""
        return self.overall.count(Verdict.LOST) + self.starts.missing

    @property
    def broken_checks(self) -> tuple[str, ...]:
        """Names of the checks that do not hold."""
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


def demo_fields(report: DemoReport) -> dict[str, object]:
    """Return the fields of the JSON output."""
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
        'message_ratio': round(report.costs.message_ratio, 4),
        'control_ratio': round(report.costs.control_ratio, 4),
        'waste': dict(report.costs.excess),
        'codes': dict(overall.codes),
        'crashed': report.crashed,
        'broken_checks': list(report.broken_checks),
    }


def demo_table(report: DemoReport) -> Table:
    """Return the table for the terminal."""
    table = Table(title='endivetally demo')
    columns = ('requests of', 'sent', 'whole', 'failed', 'response/ideal p50', 'p99')
    for column in columns:
        table.add_column(column)
    for name, kind in (*report.kinds.items(), ('all', report.overall)):
        table.add_row(
            name,
            str(kind.requests),
            str(kind.count(Verdict.COMPLETE)),
            str(kind.count(Verdict.FAILED)),
            f'{kind.response_ratios.p50:.3f}',
            f'{kind.response_ratios.p99:.3f}',
        )
    table.caption = (
        f'lost {report.lost}, doubled {report.starts.doubled}, '
        f'messages over the least possible {report.costs.message_ratio:.3f}'
    )
    return table
