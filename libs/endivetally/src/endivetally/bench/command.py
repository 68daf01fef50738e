"""The ``endivetally bench`` command: load tests of a fleet on loopback."""

import asyncio
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated
from typing import Final

import typer
from rich.console import Console

from endivetally.bench.faults import FAULTS
from endivetally.bench.report import RunReport
from endivetally.bench.report import build_run_fields
from endivetally.bench.report import build_table
from endivetally.bench.run import BenchPlan
from endivetally.bench.run import BenchRun
from endivetally.commands.capacity import measure
from endivetally.fleet.deployment import find_deployment
from endivetally.plots import plot_runs

OWN_SCHEDULER: Final = 'ours'
NAIVE_SCHEDULER: Final = 'naive'
DEFAULT_LOAD: Final = 0.8
DEFAULT_SECONDS: Final = 20

app = typer.Typer(add_completion=False)


@app.callback(invoke_without_command=True)
def bench(
    context: typer.Context,
    *,
    seed: Annotated[int, typer.Option(help='Seed of arrivals and run times.')] = 1,
    seconds: Annotated[
        float,
        typer.Option(help='Seconds during which requests arrive.', min=1),
    ] = DEFAULT_SECONDS,
    load: Annotated[
        float,
        typer.Option(help='Load; 1 occupies all slots on average.', min=0.01),
    ] = DEFAULT_LOAD,
    deployment: Annotated[
        str,
        typer.Option(help='Deployment: lovdata or logbook.'),
    ] = 'lovdata',
    baseline: Annotated[
        str,
        typer.Option(help='Also run a baseline: naive.'),
    ] = '',
    fault: Annotated[
        str,
        typer.Option(help=f'Fault in the middle of the run: {", ".join(FAULTS)}.'),
    ] = 'none',
    plot: Annotated[
        Path | None,
        typer.Option(help='Write a figure; the suffix names the format.'),
    ] = None,
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Measure response times and messages of a fleet on loopback under load.

    Exit code 0 after a run, whatever it measured; 2 for a wrong option.
    """
    if context.invoked_subcommand is not None:
        return
    _check_choice(deployment, ('lovdata', 'logbook'), '--deployment')
    _check_choice(baseline, ('', NAIVE_SCHEDULER), '--baseline')
    _check_choice(fault, tuple(FAULTS), '--fault')
    plan = BenchPlan(
        deployment=find_deployment(deployment),
        seed=seed,
        seconds=seconds,
        load=load,
        fault=FAULTS[fault],
    )
    runs = asyncio.run(run_bench(plan, with_baseline=baseline == NAIVE_SCHEDULER))
    if plot:
        plot_runs(runs, plot)
    if as_json:
        typer.echo(json.dumps(_result_fields(plan, fault, runs)))
        return
    for name, run in runs.items():
        Console().print(build_table(name, run))


app.command('control')(measure)


async def run_bench(plan: BenchPlan, *, with_baseline: bool) -> dict[str, RunReport]:
    """Run the load with the deployment's scheduler and, if asked, with the naive one.

    Both runs use the overhead of a request that the first run measured, so that
    their response ratios refer to the same ideal response time.

    :param with_baseline: run the naive scheduler too.
    :returns: reports by scheduler.
    """
    report = await BenchRun(plan).run()
    if not with_baseline:
        return {OWN_SCHEDULER: report}
    baseline_plan = BenchPlan(
        deployment=plan.deployment.with_scheduler(NAIVE_SCHEDULER),
        seed=plan.seed,
        seconds=plan.seconds,
        load=plan.load,
        fault=plan.fault,
        overhead_ms=report.overhead_ms,
    )
    return {
        OWN_SCHEDULER: report,
        NAIVE_SCHEDULER: await BenchRun(baseline_plan).run(),
    }


def _result_fields(
    plan: BenchPlan,
    fault: str,
    runs: Mapping[str, RunReport],
) -> dict[str, object]:
    return {
        'deployment': plan.deployment.name,
        'seed': plan.seed,
        'seconds': plan.seconds,
        'load': plan.load,
        'fault': fault,
        **{name: build_run_fields(run) for name, run in runs.items()},
    }


def _check_choice(choice: str, choices: tuple[str, ...], option: str) -> None:
    if choice not in choices:
        raise typer.BadParameter(
            f'{choice!r} is not one of {choices}', param_hint=option
        )
