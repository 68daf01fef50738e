"""The ``endivetally scenario`` command: runs scenarios and prints reports."""

import asyncio
import json
import logging
from pathlib import Path
from typing import Annotated
from typing import Final

import msgspec
import typer
from rich.console import Console

from endivetally.scenarios import Scenario
from endivetally.scenarios import ScenarioInvalid
from endivetally.scenarios import ScenarioReport
from endivetally.scenarios import parse_scenario
from endivetally.scenarios import run_scenario
from endivetally.scenarios.report import render_reports

DEFAULT_PARALLEL_FLEETS: Final = 3
_EXIT_FAILED: Final = 1
_EXIT_USAGE: Final = 2

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _scenario() -> None:
    """Run scripted failures against small fleets on loopback."""


@app.command('run')
def run(
    files: Annotated[
        list[Path],
        typer.Argument(metavar='FILE...', exists=True, dir_okay=False),
    ],
    seed: Annotated[
        int, typer.Option(help='Seed of the load balancer that chooses entries.')
    ] = 1,
    jobs: Annotated[
        int,
        typer.Option(min=1, help='Number of fleets that run at the same time.'),
    ] = DEFAULT_PARALLEL_FLEETS,
    logs: Annotated[
        Path | None,
        typer.Option(help='Directory that receives the logs of the fleets.'),
    ] = None,
    verbose: Annotated[bool, typer.Option(help='Log each step.')] = False,
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Run scenarios, each on a fleet of its own.

    Exit code 0 when all pass, 1 when one fails, 2 for a file that does not parse.
    """
    logging.basicConfig(
        level=logging.INFO if verbose else logging.WARNING,
        format='%(asctime)s %(message)s',
    )
    scenarios = [_read_scenario(file) for file in files]
    reports = asyncio.run(_run_all(scenarios, files, seed, jobs, logs))
    if as_json:
        typer.echo(json.dumps(msgspec.to_builtins(reports), indent=2))
    else:
        Console().print(render_reports(reports))
    if not all(report.passed for report in reports):
        raise typer.Exit(_EXIT_FAILED)


async def _run_all(
    scenarios: list[Scenario],
    files: list[Path],
    seed: int,
    jobs: int,
    logs: Path | None,
) -> list[ScenarioReport]:
    fleet_limit = asyncio.Semaphore(jobs)
    runs = [
        _run_one(scenario, file, seed, fleet_limit, logs)
        for scenario, file in zip(scenarios, files, strict=True)
    ]
    return await asyncio.gather(*runs)


async def _run_one(
    scenario: Scenario,
    file: Path,
    seed: int,
    fleet_limit: asyncio.Semaphore,
    logs: Path | None,
) -> ScenarioReport:
    async with fleet_limit:
        report = await run_scenario(scenario, file, seed, logs)
    verdict = 'passed' if report.passed else 'FAILED'
    typer.echo(f'{verdict} in {report.seconds:.1f} s: {report.name}', err=True)
    return report


def _read_scenario(file: Path) -> Scenario:
    try:
        return parse_scenario(file.read_text())
    except ScenarioInvalid as error:
        typer.echo(f'{file}: {error}', err=True)
        raise typer.Exit(_EXIT_USAGE) from error
