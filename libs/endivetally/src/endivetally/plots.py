"""Draws both runs of a bench side by side."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

from endivetally.bench.report import RunReport

_QUANTILES: Final = ('p50', 'p99', 'p99.9')
_FIGURE_INCHES: Final = (11, 4)
_BAR_WIDTH: Final = 0.4


def plot_runs(runs: Mapping[str, RunReport], file: Path) -> None:
    """Write a figure of response ratios and message ratios.

    :param runs: reports by scheduler.
    :param file: its suffix names the format.
    """
    # Imported here, since it takes a second and only plots need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=_FIGURE_INCHES, layout='constrained')
    responses, messages = figure.subplots(1, 2)
    for number, (name, run) in enumerate(runs.items()):
        shift = number * _BAR_WIDTH
        ratios = run.overall.response_ratios
        heights = (ratios.p50, ratios.p99, ratios.p999)
        places = [index + shift for index in range(len(heights))]
        responses.bar(places, heights, _BAR_WIDTH, label=name)
        costs = (run.messages.message_ratio, run.messages.control_ratio)
        places = [index + shift for index in range(len(costs))]
        messages.bar(places, costs, _BAR_WIDTH, label=name)
    responses.set_yscale('log')
    responses.set_ylabel('response time over ideal')
    responses.set_xticks(range(len(_QUANTILES)), _QUANTILES)
    messages.set_ylabel('over the least possible messages')
    messages.set_xticks((0, 1), ('messages', 'control'))
    responses.legend()
    figure.savefig(file)
