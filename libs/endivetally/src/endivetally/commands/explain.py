"""Command that tells what happened to one request."""

import fileinput
import pathlib
from typing import Annotated

import typer

from endivetally.trace import tell_story

app = typer.Typer(add_completion=False)


@app.command()
def explain(
    identifier: Annotated[str, typer.Argument(help='Identifier of the job.')],
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(help='Logs of all processes.', exists=True, dir_okay=False),
    ],
) -> None:
    """Tell the story of a request from logs, in order, with its gaps.

    Exits with 1 when the logs say nothing about it.
    """
    with fileinput.input(files, encoding='utf-8', errors='replace') as lines:
        story = tell_story(identifier, lines)
    for moment in story.moments:
        typer.echo(str(moment))
    for gap in story.gaps:
        typer.echo(f'gap: {gap}')
    if not story.moments:
        raise typer.Exit(1)
