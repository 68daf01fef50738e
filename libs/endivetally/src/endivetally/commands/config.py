"""The ``endivetally config`` commands for the operators' configuration."""

import asyncio
import datetime
import getpass
import json
import pathlib
from typing import Annotated

import msgspec
import typer
from endivetally_config.checks import check_config
from endivetally_config.exceptions import ConfigInvalid
from endivetally_config.exceptions import Fault
from rich.console import Console
from rich.table import Table

from endivetally.commands.client import DEFAULT_TIMEOUT_S
from endivetally.commands.client import OperatorClient
from endivetally.commands.common import EntryOption
from endivetally.commands.common import ExitCode
from endivetally.commands.common import JsonOption
from endivetally.commands.common import TimeoutOption
from endivetally.commands.common import TokenFileOption
from endivetally.commands.common import TokenOption
from endivetally.commands.common import exit_on_errors
from endivetally.commands.common import print_json
from endivetally.commands.common import read_token

ConfigArgument = Annotated[
    pathlib.Path,
    typer.Argument(
        metavar='FILE', exists=True, dir_okay=False, help='Configuration in JSON.'
    ),
]

app = typer.Typer(no_args_is_help=True, add_completion=False)


class CheckResult(msgspec.Struct, frozen=True):
    """Output of ``config check --json``."""

    valid: bool
    faults: list[Fault]


@app.callback()
def _config() -> None:
    """Check, submit and inspect the operators' configuration."""


@app.command('check')
def check(file: ConfigArgument, as_json: JsonOption = False) -> None:
    """Validate a configuration without submitting it; list each fault with its path."""
    faults = _find_faults(file.read_bytes())
    if as_json:
        print_json(CheckResult(not faults, list(faults)))
    else:
        for fault in faults:
            typer.echo(str(fault))
        typer.echo(f'{file}: {len(faults)} faults')
    if faults:
        raise typer.Exit(ExitCode.FAILED)


@app.command('submit')
def submit(
    file: ConfigArgument,
    entry: EntryOption,
    based_on: Annotated[
        int,
        typer.Option(
            min=0, help='Version that was edited; 0 for the first configuration.'
        ),
    ],
    token: TokenOption = '',
    token_file: TokenFileOption = None,
    submitter: Annotated[
        str,
        typer.Option(help='Name for the history; by default the login name.'),
    ] = '',
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Validate a configuration and put it in force.

    Exits with 4 when another version is in force: read that version, merge the
    changes and submit again. After exit code 3, read the history before you
    submit again, as the change may have taken effect.
    """
    encoded = file.read_bytes()
    client = OperatorClient(entry, read_token(token, token_file), timeout_s)
    with exit_on_errors():
        check_config(encoded)
        version = asyncio.run(
            client.submit_config(encoded, based_on, submitter or getpass.getuser()),
        )
    if as_json:
        print_json({'version': version})
    else:
        typer.echo(f'version {version} is in force')


@app.command('show')
def show(
    entry: EntryOption,
    token: TokenOption = '',
    token_file: TokenFileOption = None,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Print the configuration in force; its version goes to standard error."""
    client = OperatorClient(entry, read_token(token, token_file), timeout_s)
    with exit_on_errors():
        current = asyncio.run(client.read_config())
    if as_json:
        print_json(current)
        return
    typer.echo(f'version {current.version}', err=True)
    typer.echo(json.dumps(msgspec.to_builtins(current.config), indent=2))


@app.command('history')
def history(
    entry: EntryOption,
    token: TokenOption = '',
    token_file: TokenFileOption = None,
    limit: Annotated[int, typer.Option(min=1, help='Newest versions to list.')] = 20,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """List who changed the configuration and when, newest last."""
    client = OperatorClient(entry, read_token(token, token_file), timeout_s)
    with exit_on_errors():
        changes = asyncio.run(client.read_history()).changes[-limit:]
    if as_json:
        print_json(changes)
        return
    table = Table('version', 'submitter', 'time')
    for change in changes:
        changed_at = datetime.datetime.fromtimestamp(change.changed_at_s, datetime.UTC)
        table.add_row(
            str(change.version),
            change.submitter,
            changed_at.isoformat(sep=' ', timespec='seconds'),
        )
    Console().print(table)


def _find_faults(encoded: bytes) -> tuple[Fault, ...]:
    try:
        check_config(encoded)
    except ConfigInvalid as error:
        return error.faults
    return ()
