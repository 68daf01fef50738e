"""Burn report as a table for the terminal."""

from rich.console import Group
from rich.console import RenderableType
from rich.table import Table
from rich.text import Text

from endivetally.burn import WINDOWS_S
from endivetally.burn import Alert
from endivetally.burn import BurnReport
from endivetally.burn import ServiceReport

_ALERT_STYLES = {Alert.NONE: 'green', Alert.TICKET: 'yellow', Alert.PAGE: 'bold red'}


def render_table(report: BurnReport) -> RenderableType:
    """Return the report for the terminal."""
    table = Table(
        'service',
        'objective',
        'budget left',
        *(f'burn {name_window(window_s)}' for window_s in WINDOWS_S),
        'alert',
        'budget spent by',
    )
    for service in report.services:
        table.add_row(*_render_cells(service))
    return Group(table, *_render_notes(report))


def name_window(window_s: int) -> str:
    """Return a window in minutes or hours.

    >>> name_window(300), name_window(21600)
    ('5 min', '6 h')
    """
    minutes = window_s // 60
    return f'{minutes // 60} h' if minutes >= 60 else f'{minutes} min'


def describe_objective(service: ServiceReport) -> str:
    """Return the objective of a service in words."""
    return f'{service.availability:.5g} within {service.response_ms} ms'


def describe_spending(service: ServiceReport) -> str:
    """Return the kinds of errors with their shares of the spent budget."""
    return ', '.join(f'{kind.kind} {kind.share:.0%}' for kind in service.spent_by)


def _render_cells(service: ServiceReport) -> list[RenderableType]:
    return [
        service.service,
        describe_objective(service),
        f'{service.budget_left:.1%}',
        *(f'{window.burn_rate:.2f}' for window in service.windows),
        Text(service.alert.value, _ALERT_STYLES[service.alert]),
        describe_spending(service),
    ]


def _render_notes(report: BurnReport) -> list[RenderableType]:
    notes = [f'entries: {", ".join(report.entries)}']
    if report.unreachable:
        notes.append(f'without: {", ".join(report.unreachable)}')
    if not report.services:
        notes.append('no answers were counted yet')
    return [Text(note) for note in notes]
