"""The ``endivetally status`` command: the state of one entry."""

import asyncio

import typer
from rich.console import Console

from endivetally.commands.client import DEFAULT_TIMEOUT_S
from endivetally.commands.client import OperatorClient
from endivetally.commands.common import EntryOption
from endivetally.commands.common import JsonOption
from endivetally.commands.common import TimeoutOption
from endivetally.commands.common import TokenFileOption
from endivetally.commands.common import TokenOption
from endivetally.commands.common import exit_on_errors
from endivetally.commands.common import print_json
from endivetally.commands.common import read_token
from endivetally.status import render_status

app = typer.Typer(add_completion=False)


@app.command('status')
def show_status(
    entry: EntryOption,
    token: TokenOption = '',
    token_file: TokenFileOption = None,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Show one entry: configuration version, shards, load of each pool, targets."""
    client = OperatorClient(entry, read_token(token, token_file), timeout_s)
    with exit_on_errors():
        status = asyncio.run(client.read_status())
    if as_json:
        print_json(status)
    else:
        Console().print(render_status(status))
