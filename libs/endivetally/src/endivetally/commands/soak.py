"""The ``endivetally soak`` command: injects random faults into real processes."""

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
    runs: Annotated[
        int, typer.Option(min=1, help='Number of consecutive seeds to run.')
    ] = 1,
    minutes: Annotated[
        float, typer.Option(min=0, help='Minutes of faults for each seed.')
    ] = 0.5,
    entries: Annotated[int, typer.Option(min=1, help='Entry processes.')] = 3,
    agents: Annotated[int, typer.Option(min=1, help='Agent processes.')] = 5,
    rate: Annotated[float, typer.Option(help='Jobs per second.')] = 15,
    large: Annotated[
        bool,
        typer.Option(help='Large configuration, slow links to the store.'),
    ] = False,
    logs: Annotated[
        Path | None, typer.Option(help='Directory for settings and logs.')
    ] = None,
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Run real processes on loopback and inject random faults from outside.

    Exits with 1 when a guarantee was violated.
    """
    # The stand-ins refuse some requests on purpose; do not log each as a warning.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    size = SoakSize(entries, agents, minutes * 60, rate, large)
    report = asyncio.run(_run_seeds(range(seed, seed + runs), size, logs))
    if as_json:
        typer.echo(json.dumps(report.as_dict(), indent=2))
    else:
        _print_summary(report)
    if report.violations:
        raise typer.Exit(1)


async def _run_seeds(seeds: range, size: SoakSize, logs: Path | None) -> SoakReport:
    report = SoakReport()
    with tempfile.TemporaryDirectory() as temporary:
        for seed in seeds:
            directory = (logs or Path(temporary)) / f'seed-{seed}'
            directory.mkdir(parents=True, exist_ok=True)
            report.add(await run_soak(seed, size, directory))
    return report


def _print_summary(report: SoakReport) -> None:
    typer.echo(f'{len(report.seeds)} seeds, {sum(report.faults.values())} faults')
    for name, count in sorted(report.requests.items()):
        typer.echo(f'{name}: {count}')
    for violation in report.violations:
        typer.echo(f'violation: {violation}')
