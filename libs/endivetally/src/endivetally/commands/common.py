"""Exit codes, options and error handling shared by the commands."""

import contextlib
import enum
import json
import pathlib
from collections.abc import Iterator
from typing import Annotated
from typing import Any

import msgspec
import typer
from endivetally_config.exceptions import SettingsInvalid
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import RequestError
from endivetally_core.joining import Address

from endivetally.commands.client import EntryUnreachable

TOKEN_VARIABLE = 'ENDIVETALLY_TOKEN'
ENTRY_VARIABLE = 'ENDIVETALLY_ENTRY'


class ExitCode(enum.IntEnum):
    """Exit codes that all commands share."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4


def parse_address(value: str) -> Address:
    """Parse an address given as ``HOST:PORT``.

    :raises typer.BadParameter: if the host is missing or the port is not a number.

    >>> parse_address('127.0.0.1:8080')
    Address(host='127.0.0.1', port=8080)
    """
    host, _, port = value.rpartition(':')
    if not host or not port.isdecimal():
        raise typer.BadParameter(f'{value} is not HOST:PORT')
    return Address(host, int(port))


EntryOption = Annotated[
    Address,
    typer.Option(
        '--entry',
        parser=parse_address,
        metavar='HOST:PORT',
        envvar=ENTRY_VARIABLE,
        help='HTTP address of an entry.',
    ),
]
TokenOption = Annotated[
    str,
    typer.Option(
        '--token',
        envvar=TOKEN_VARIABLE,
        help='Token of the operators; prefer the environment variable or a file.',
    ),
]
TokenFileOption = Annotated[
    pathlib.Path | None,
    typer.Option('--token-file', help='File that holds the token of the operators.'),
]
TimeoutOption = Annotated[
    float,
    typer.Option('--timeout', min=0.1, help='Seconds to wait for a response.'),
]
JsonOption = Annotated[
    bool,
    typer.Option('--json', help='Print JSON for scripts.'),
]


def read_token(token: str, token_file: pathlib.Path | None) -> str:
    """Return the token of the operators; a token file takes precedence.

    :param token: token from the option or the environment variable.
    :raises typer.BadParameter: if the file cannot be read.
    """
    if token_file is None:
        return token
    try:
        return token_file.read_text().strip()
    except OSError as error:
        raise typer.BadParameter(f'{token_file}: {error.strerror}') from error


def print_json(content: Any) -> None:
    """Print data as indented JSON."""
    typer.echo(json.dumps(msgspec.to_builtins(content), indent=2))


@contextlib.contextmanager
def exit_on_errors() -> Iterator[None]:
    """Print an expected error to standard error and exit with its exit code."""
    try:
        yield
    except RequestError as error:
        typer.echo(
            f'{error.code}: {error.detail} ({error.execution_state.value})', err=True
        )
        raise typer.Exit(_exit_code(error.kind)) from error
    except EntryUnreachable as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error
    except SettingsInvalid as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.USAGE) from error


def _exit_code(kind: ErrorKind) -> ExitCode:
    if kind is ErrorKind.CONFIG_CONFLICT:
        return ExitCode.CONFLICT
    if kind in {ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.NOT_READY}:
        return ExitCode.UNREACHABLE
    return ExitCode.FAILED
