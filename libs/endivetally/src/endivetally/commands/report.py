"""The ``endivetally report`` commands: service levels across several entries."""

import asyncio
import pathlib
from typing import Annotated

import typer
from endivetally_core.burn import BurnSnapshot
from endivetally_core.errors import EndivetallyError
from endivetally_core.joining import Address
from rich.console import Console

from endivetally.burn.page import render_page
from endivetally.burn.report import BurnReport
from endivetally.burn.report import build_report
from endivetally.burn.table import render_table
from endivetally.commands.client import DEFAULT_TIMEOUT_S
from endivetally.commands.client import OperatorClient
from endivetally.commands.common import ENTRY_VARIABLE
from endivetally.commands.common import JsonOption
from endivetally.commands.common import TimeoutOption
from endivetally.commands.common import TokenFileOption
from endivetally.commands.common import TokenOption
from endivetally.commands.common import exit_on_errors
from endivetally.commands.common import parse_address
from endivetally.commands.common import print_json
from endivetally.commands.common import read_token

EntriesOption = Annotated[
    list[Address],
    typer.Option(
        '--entry',
        parser=parse_address,
        metavar='HOST:PORT',
        envvar=ENTRY_VARIABLE,
        help='HTTP address of an entry; may be repeated (spaces in the variable).',
    ),
]
PeersOption = Annotated[
    bool,
    typer.Option(help='Also ask the other entries that the given ones know.'),
]

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _report() -> None:
    """Report on the service levels."""


@app.command('burn')
def report_burn(
    entry: EntriesOption,
    token: TokenOption = '',
    token_file: TokenFileOption = None,
    peers: PeersOption = True,
    html: Annotated[
        pathlib.Path | None,
        typer.Option('--html', help='Write one self-contained page to this file.'),
    ] = None,
    timeout_s: TimeoutOption = DEFAULT_TIMEOUT_S,
    as_json: JsonOption = False,
) -> None:
    """Report error budgets and burn rates of the last 6 hours.

    Burn rates are given over 5 min, 30 min, 1 h and 6 h; a rate of 1 spends the
    error budget exactly as fast as the objective allows. The counts of an entry
    begin when it starts.
    """
    reader = _BurnReader(read_token(token, token_file), timeout_s)
    with exit_on_errors():
        report = asyncio.run(reader.read_report(entry, peers=peers))
    if html is not None:
        html.write_text(render_page(report))
    if as_json:
        print_json(report)
    else:
        Console().print(render_table(report))


class _BurnReader:
    """Reads the counts of several entries concurrently."""

    def __init__(self, token: str, timeout_s: float) -> None:
        self._token = token
        self._timeout_s = timeout_s

    async def read_report(self, entries: list[Address], *, peers: bool) -> BurnReport:
        """Return a report over all entries that respond.

        :param peers: also ask the other entries that the given ones know.
        :raises EndivetallyError: the first error, if no entry responds.
        """
        known = set(entries)
        if peers:
            for peer_addresses in await asyncio.gather(*map(self._find_peers, entries)):
                known.update(peer_addresses)
        addresses = sorted(known, key=str)
        responses = await asyncio.gather(
            *(self._client(address).read_burn() for address in addresses),
            return_exceptions=True,
        )
        snapshots = [each for each in responses if isinstance(each, BurnSnapshot)]
        errors = [each for each in responses if isinstance(each, BaseException)]
        if errors and not snapshots:
            raise errors[0]
        unreachable = [
            str(address)
            for address, response in zip(addresses, responses, strict=True)
            if not isinstance(response, BurnSnapshot)
        ]
        return build_report(snapshots, unreachable)

    async def _find_peers(self, entry: Address) -> list[Address]:
        try:
            status = await self._client(entry).read_status()
        except EndivetallyError:
            return []
        return [parse_address(address) for address in status.entries]

    def _client(self, entry: Address) -> OperatorClient:
        return OperatorClient(entry, self._token, self._timeout_s)
