"""Command that plays random faults against the real programs."""

import asyncio
import json
import logging
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from endivetally.soak import SoakReport
from endivetally.soak import SoakSize
from endivetally.soak import run_soak

app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help='First seed.')] = 1,
    runs: Annotated[int, typer.Option(min=1, help='Seeds, one after another.')] = 1,
    minutes: Annotated[
        float, typer.Option(min=0, help='Minutes of faults for each seed.')
    ] = 0.5,
    entries: Annotated[int, typer.Option(min=1, help='Entry processes.')] = 3,
    agents: Annotated[int, typer.Option(min=1, help='Agent processes.')] = 5,
    rate: Annotated[float, typer.Option(help='Jobs a second.')] = 15,
    logs: Annotated[
        Path | None, typer.Option(help='Directory that receives settings and logs.')
    ] = None,
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Run the programs on loopback and strike them with faults from outside.

    Exits with 1 when a promise was broken.
    """
    # The stand-ins' refusals are part of the play.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    size = SoakSize(entries, agents, minutes * 60, rate)
    report = asyncio.run(_run_seeds(range(seed, seed + runs), size, logs))
    if as_json:
        typer.echo(json.dumps(report.as_dict(), indent=2))
    else:
        _print(report)
    if report.violations:
        raise typer.Exit(1)


async def _run_seeds(seeds: range, size: SoakSize, logs: Path | None) -> SoakReport:
    report = SoakReport()
    with tempfile.TemporaryDirectory() as temporary:
        for seed in seeds:
            folder = (logs or Path(temporary)) / f'seed-{seed}'
            folder.mkdir(parents=True, exist_ok=True)
            report.add(await run_soak(seed, size, folder))
    return report


def _print(report: SoakReport) -> None:
    typer.echo(f'{len(report.seeds)} seeds, {sum(report.faults.values())} faults')
    for name, count in sorted(report.requests.items()):
        typer.echo(f'{name}: {count}')
    for violation in report.violations:
        typer.echo(f'violation: {violation}')
