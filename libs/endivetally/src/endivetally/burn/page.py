"""Burn report as one self-contained HTML page with plots."""

import datetime
import html
import io
import string
from importlib import resources
from typing import Final

from endivetally.burn.report import TIMELINE_STEP_S
from endivetally.burn.report import WINDOWS_S
from endivetally.burn.report import BurnReport
from endivetally.burn.report import ServiceReport
from endivetally.burn.report import burn_rate
from endivetally.burn.table import describe_objective
from endivetally.burn.table import describe_spending
from endivetally.burn.table import format_window

_FIGURE_INCHES: Final = (9, 4)
_SECONDS_PER_HOUR: Final = 3600

_TEMPLATE: Final = 'page.html'


def render_page(report: BurnReport) -> str:
    """Return the report as an HTML page that needs no other file."""
    template = resources.files(__package__).joinpath(_TEMPLATE)
    moment = datetime.datetime.fromtimestamp(report.now_s, datetime.UTC)
    without = f'; without {", ".join(report.unreachable)}' if report.unreachable else ''
    windows = [f'burn {format_window(window_s)}' for window_s in WINDOWS_S]
    headings = ['service', 'objective', 'budget left', *windows, 'alert', 'spent by']
    return string.Template(template.read_text()).substitute(
        moment=moment.isoformat(sep=' ', timespec='seconds'),
        entries=html.escape(', '.join(report.entries)),
        unreachable=html.escape(without),
        headings=''.join(f'<th>{heading}</th>' for heading in headings),
        rows='\n'.join(_render_row(service) for service in report.services),
        sections='\n'.join(
            _render_section(service, report.now_s) for service in report.services
        ),
    )


def _render_row(service: ServiceReport) -> str:
    cells = [
        service.service,
        describe_objective(service),
        f'{service.budget_left:.1%}',
        *(f'{window.burn_rate:.2f}' for window in service.windows),
        service.alert.value,
        describe_spending(service),
    ]
    escaped = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
    return f'<tr class="{service.alert.value}">{escaped}</tr>'


def _render_section(service: ServiceReport, now_s: float) -> str:
    heading = f'<h2>{html.escape(service.service)}</h2>'
    return f'{heading}\n{_plot_service(service, now_s)}'


def _plot_service(service: ServiceReport, now_s: float) -> str:
    """Plot burn rate and bad answers over time as an SVG element."""
    # Imported here because it takes most of a second.
    from matplotlib.figure import Figure  # noqa: PLC0415

    figure = Figure(figsize=_FIGURE_INCHES, layout='constrained')
    rates, counts = figure.subplots(2, 1, sharex=True)
    hours = [
        (point.start_s + TIMELINE_STEP_S / 2 - now_s) / _SECONDS_PER_HOUR
        for point in service.timeline
    ]
    rates.plot(hours, _rates(service), marker='.')
    rates.axhline(1, color='grey', linestyle='dashed')
    rates.set_ylabel('burn rate')
    base = [0 for _ in hours]
    for kind in service.spent_by:
        heights = [point.bad.get(kind.kind, 0) for point in service.timeline]
        width = TIMELINE_STEP_S / _SECONDS_PER_HOUR
        counts.bar(hours, heights, width, bottom=base, label=kind.kind)
        base = [low + height for low, height in zip(base, heights, strict=True)]
    if service.spent_by:
        counts.legend()
    counts.set_ylabel(f'bad in {format_window(TIMELINE_STEP_S)}')
    counts.set_xlabel('hours from now')
    output = io.StringIO()
    figure.savefig(output, format='svg')
    return (
        output.getvalue().partition('<svg')[1] + output.getvalue().partition('<svg')[2]
    )


def _rates(service: ServiceReport) -> list[float]:
    return [
        burn_rate(point.good, sum(point.bad.values()), service.availability)
        for point in service.timeline
    ]
