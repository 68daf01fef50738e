"""Result of a scenario, as a table for the terminal and as JSON."""

import msgspec
from rich.table import Table


class ScenarioReport(msgspec.Struct, frozen=True):
    """Result of one run of a scenario; `Totals` describes the counts.

    :param promise: number of the promise under test; 0 for liveness.
    :param answers: number of requests by label and outcome.
    :param failures: one sentence for each failed step or violated invariant.
    """

    name: str
    promise: int
    passed: bool
    starts: int
    doubled: int
    partial: int
    lost: int
    interrupted: int
    answers: dict[str, dict[str, int]]
    failures: list[str]
    file: str
    seed: int
    seconds: float


def render_reports(reports: list[ScenarioReport]) -> Table:
    """Return a table with one row for each scenario and each failure."""
    table = Table(
        'scenario',
        'promise',
        'passed',
        'starts',
        'doubled',
        'partial',
        'lost',
        'seconds',
    )
    for report in reports:
        table.add_row(
            report.name,
            str(report.promise or 'liveness'),
            'yes' if report.passed else 'NO',
            str(report.starts),
            str(report.doubled),
            str(report.partial),
            str(report.lost),
            f'{report.seconds:.1f}',
        )
        for failure in report.failures:
            table.add_row(f'  {failure}')
    return table
