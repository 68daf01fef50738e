"""The ``endivetally demo`` command: real processes, example input, checks."""

import asyncio
import json
import time
from pathlib import Path
from typing import Annotated
from typing import Final

import typer
from rich.console import Console
from rich.progress import Progress

from endivetally.bench.counters import FleetCounters
from endivetally.bench.counters import count_starts
from endivetally.bench.messages import measure_message_overhead
from endivetally.demo.input import DemoInputError
from endivetally.demo.input import read_arrivals
from endivetally.demo.report import DemoReport
from endivetally.demo.report import demo_fields
from endivetally.demo.report import demo_table
from endivetally.fleet import Fleet
from endivetally.fleet.deployment import DEMO
from endivetally.load.mix import Arrival
from endivetally.load.overhead import measure_overhead_ms
from endivetally.load.report import report_requests
from endivetally.load.report import report_requests_by_service
from endivetally.load.report import report_starts
from endivetally.load.sender import Caller
from endivetally.load.sender import LoadPlan
from endivetally.load.sender import LoadRecord
from endivetally.load.sender import OnRecord

DEFAULT_INPUT: Final = Path('examples/requests')
PATIENCE_S: Final = 40
SETTLE_S: Final = 1
_EXIT_CHECK_FAILED: Final = 1
_EXIT_BAD_INPUT: Final = 2

app = typer.Typer(add_completion=False)


@app.command('demo')
def demo(
    *,
    requests: Annotated[
        Path,
        typer.Option(help='Directory of <service>.jsonl files.'),
    ] = DEFAULT_INPUT,
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Start a small fleet on loopback, send the example requests, check answers.

    Exit code 0 when every check holds, 1 when one fails, 2 for bad input.
    """
    try:
        arrivals = read_arrivals(requests, DEMO.config)
    except DemoInputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    report = _run_with_progress(arrivals)
    if as_json:
        typer.echo(json.dumps(demo_fields(report)))
    else:
        Console().print(demo_table(report))
    if report.broken_checks:
        typer.echo(f'checks failed: {", ".join(report.broken_checks)}', err=True)
        raise typer.Exit(_EXIT_CHECK_FAILED)


async def run_demo(arrivals: list[Arrival], on_record: OnRecord) -> DemoReport:
    """Send the requests to a fresh fleet and report.

    :param on_record: told of each answer.
    """
    async with Fleet(DEMO) as fleet:
        await fleet.start()
        overhead_ms = await measure_overhead_ms(fleet)
        counters = FleetCounters(fleet)
        await counters.record_start()
        records = await _send(fleet, arrivals, on_record)
        await asyncio.sleep(SETTLE_S)
        await counters.record_end()
        return _report(fleet, counters, arrivals, records, overhead_ms)


def _run_with_progress(arrivals: list[Arrival]) -> DemoReport:
    with Progress(console=Console(stderr=True)) as progress:
        bar = progress.add_task('requests answered', total=len(arrivals))
        return asyncio.run(run_demo(arrivals, lambda _record: progress.advance(bar)))


async def _send(
    fleet: Fleet,
    arrivals: list[Arrival],
    on_record: OnRecord,
) -> dict[str, LoadRecord]:
    plan = LoadPlan(
        start=time.monotonic(),
        entries=[entry.url for entry in fleet.entries],
        token=fleet.deployment.token,
        patience_s=PATIENCE_S,
        seed=1,
        arrivals=arrivals,
    )
    records = await Caller(plan, on_record).run()
    return {record.key: record for record in records}


def _report(
    fleet: Fleet,
    counters: FleetCounters,
    arrivals: list[Arrival],
    records: dict[str, LoadRecord],
    overhead_ms: float,
) -> DemoReport:
    slots_of = fleet.deployment.count_service_slots()
    starts = report_starts(arrivals, records, count_starts(fleet))
    return DemoReport(
        overall=report_requests(arrivals, records, slots_of, overhead_ms),
        kinds=report_requests_by_service(arrivals, records, slots_of, overhead_ms),
        starts=starts,
        costs=measure_message_overhead(counters.messages, starts.tasks_done),
        crashed=fleet.crashed,
    )
