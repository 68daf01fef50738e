"""Burn report as a table for the terminal."""

from collections.abc import Iterable

from rich.console import Group
from rich.console import RenderableType
from rich.table import Table
from rich.text import Text

from endivetally.burn.report import WINDOWS_S
from endivetally.burn.report import Alert
from endivetally.burn.report import BurnReport
from endivetally.burn.report import ServiceReport

_ALERT_STYLES = {Alert.NONE: 'green', Alert.TICKET: 'yellow', Alert.PAGE: 'bold red'}


def render_table(report: BurnReport) -> RenderableType:
    """Return the report for the terminal."""
    return Group(
        _render_rates(report.services),
        _render_spending(report.services),
        *_render_notes(report),
    )


def format_window(window_s: int) -> str:
    """Return a window in minutes or hours.

    >>> format_window(300), format_window(21600)
    ('5 min', '6 h')
    """
    minutes = window_s // 60
    return f'{minutes // 60} h' if minutes >= 60 else f'{minutes} min'


def describe_objective(service: ServiceReport) -> str:
    """Return the objective of a service in words."""
    return f'{service.availability * 100:.5g}% in {service.response_ms} ms'


def describe_spending(service: ServiceReport) -> str:
    """Return the kinds of errors with their shares of the spent budget."""
    return ', '.join(f'{kind.kind} {kind.share:.0%}' for kind in service.spent_by)


def _render_rates(services: Iterable[ServiceReport]) -> Table:
    windows = [format_window(window_s) for window_s in WINDOWS_S]
    table = Table('service', 'objective', 'left', *windows, 'alert')
    for service in services:
        table.add_row(
            service.service,
            describe_objective(service),
            f'{service.budget_left:.0%}',
            *(f'{window.burn_rate:.3g}' for window in service.windows),
            Text(service.alert.value, _ALERT_STYLES[service.alert]),
        )
    return table


def _render_spending(services: Iterable[ServiceReport]) -> Table:
    table = Table('service', 'budget spent by', 'answers', 'share')
    for service in services:
        for kind in service.spent_by:
            table.add_row(
                service.service,
                kind.kind,
                str(kind.count),
                f'{kind.share:.0%}',
            )
    return table


def _render_notes(report: BurnReport) -> list[RenderableType]:
    notes = ['left: error budget of 6 h that is left; 5 min to 6 h: burn rates']
    notes.append(f'entries: {", ".join(report.entries)}')
    if report.unreachable:
        notes.append(f'without: {", ".join(report.unreachable)}')
    if not report.services:
        notes.append('no answers were counted yet')
    return [Text(note) for note in notes]
