"""The outcome of a scenario, for people and as JSON."""

import msgspec
from rich.table import Table


class ScenarioReport(msgspec.Struct, frozen=True):
    """What a run of one scenario showed.

    :param promise: number of the promise; 0 for liveness.
    :param answers: how many requests of each label ended in each way.
    :param failures: what did not hold, a sentence each.
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
    """Return a table for the terminal."""
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
