"""Plots the benchmark runs of several schedulers side by side."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

from endivetally.bench.report import RunReport

_QUANTILES: Final = ('p50', 'p99', 'p99.9')
_FIGURE_INCHES: Final = (11, 4)
_BAR_WIDTH: Final = 0.4


def plot_runs(runs: Mapping[str, RunReport], file: Path) -> None:
    """Plot response time ratios and message ratios to a file.

    :param runs: report of each scheduler, by its name.
    :param file: output file; its suffix selects the format.
    """
    # The import takes a second and only plots need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=_FIGURE_INCHES, layout='constrained')
    responses, messages = figure.subplots(1, 2)
    for number, (name, run) in enumerate(runs.items()):
        offset = number * _BAR_WIDTH
        ratios = run.overall.response_ratios
        heights = (ratios.p50, ratios.p99, ratios.p999)
        positions = [index + offset for index in range(len(heights))]
        responses.bar(positions, heights, _BAR_WIDTH, label=name)
        costs = (run.messages.message_ratio, run.messages.control_ratio)
        positions = [index + offset for index in range(len(costs))]
        messages.bar(positions, costs, _BAR_WIDTH, label=name)
    responses.set_yscale('log')
    responses.set_ylabel('response time / ideal response time')
    responses.set_xticks(range(len(_QUANTILES)), _QUANTILES)
    messages.set_ylabel('messages / least possible messages')
    messages.set_xticks((0, 1), ('messages', 'control'))
    responses.legend()
    figure.savefig(file)
