"""The ``endivetally explain`` command: the trace of one request."""

import fileinput
import pathlib
from typing import Annotated

import typer

from endivetally.trace import build_trace

app = typer.Typer(add_completion=False)


@app.command()
def explain(
    identifier: Annotated[str, typer.Argument(help='Identifier of the job.')],
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help='Logs of all processes.', exists=True, dir_okay=False),
    ],
) -> None:
    """Print the logged events of a request in order, and which ones are missing.

    Exits with 1 when the logs hold no event of the request.
    """
    with fileinput.input(files, encoding='utf-8', errors='replace') as lines:
        trace = build_trace(identifier, lines)
    for event in trace.events:
        typer.echo(str(event))
    for gap in trace.gaps:
        typer.echo(f'gap: {gap}')
    if not trace.events:
        raise typer.Exit(1)
