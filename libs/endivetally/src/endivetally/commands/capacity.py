"""The ``endivetally capacity`` commands and ``endivetally bench control``."""

import asyncio
from pathlib import Path
from typing import Annotated
from typing import Final

import typer
from rich.console import Console
from rich.table import Table

from endivetally.capacity.measure import MEASUREMENTS
from endivetally.capacity.measure import measure_all
from endivetally.capacity.page import render_page
from endivetally.capacity.recording import Recording
from endivetally.capacity.recording import encode_recording
from endivetally.capacity.recording import load_recording

DEFAULT_RECORDING: Final = Path('docs/capacity/slopes.json')

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help='Measure the overhead of the control plane and compute the capacity page.',
)


@app.command('measure')
def measure(
    only: Annotated[
        list[str] | None,
        typer.Option(help=f'Measure only this: {", ".join(MEASUREMENTS)}.'),
    ] = None,
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Measure the cost per unit of load with real processes on loopback.

    Takes about ten minutes. Exits with 0 after a run, whatever it measured, and
    with 2 for a wrong option.
    """
    names = tuple(only) if only else tuple(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        raise typer.BadParameter(f'{unknown}: unknown measurement', param_hint='--only')
    console = Console(stderr=True)
    recording = asyncio.run(measure_all(names, console.print))
    if as_json:
        typer.echo(encode_recording(recording), nl=False)
        return
    Console().print(_build_slope_table(recording))


@app.command('page')
def page(
    recording: Annotated[
        Path,
        typer.Option(help='File of recorded slopes (costs per unit of load).'),
    ] = DEFAULT_RECORDING,
) -> None:
    """Compute docs/capacity/keyed.md from recorded slopes and print it."""
    typer.echo(render_page(load_recording(recording)), nl=False)


def _build_slope_table(recording: Recording) -> Table:
    table = Table('slope', 'per', 'unit', 'value', 'standard error', 'at size 0')
    for slope in recording.slopes:
        table.add_row(
            slope.name,
            slope.per,
            slope.unit,
            f'{slope.fit.slope:.4g}',
            f'{slope.fit.standard_error:.2g}',
            f'{slope.fit.intercept:.4g}',
        )
    return table
