"""The ``endivetally demo`` command: sends example requests to real processes."""

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
from endivetally.demo.report import build_json_fields
from endivetally.demo.report import build_table
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
# Longest wait of a caller for its response, resubmissions included.
CALLER_TIMEOUT_S: Final = 40
# Delay after the last response before the counters of the processes are read.
COUNTER_DELAY_S: Final = 1
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
    """Start a small fleet on loopback, send it the example requests, check responses.

    Exits with 0 when every check holds, 1 when one fails, 2 for bad input.
    """
    try:
        arrivals = read_arrivals(requests, DEMO.config)
    except DemoInputError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_BAD_INPUT) from error
    report = _run_with_progress(arrivals)
    if as_json:
        typer.echo(json.dumps(build_json_fields(report)))
    else:
        Console().print(build_table(report))
    if report.failed_checks:
        typer.echo(f'checks failed: {", ".join(report.failed_checks)}', err=True)
        raise typer.Exit(_EXIT_CHECK_FAILED)


async def run_demo(arrivals: list[Arrival], on_record: OnRecord) -> DemoReport:
    """Start a fleet, send it the requests and return a report.

    :param on_record: called with the record of each finished request.
    """
    async with Fleet(DEMO) as fleet:
        await fleet.start()
        overhead_ms = await measure_overhead_ms(fleet)
        counters = FleetCounters(fleet)
        await counters.record_start()
        records = await _send_requests(fleet, arrivals, on_record)
        await asyncio.sleep(COUNTER_DELAY_S)
        await counters.record_end()
        return _build_report(fleet, counters, arrivals, records, overhead_ms)


def _run_with_progress(arrivals: list[Arrival]) -> DemoReport:
    with Progress(console=Console(stderr=True)) as progress:
        bar = progress.add_task('requests answered', total=len(arrivals))
        return asyncio.run(run_demo(arrivals, lambda _record: progress.advance(bar)))


async def _send_requests(
    fleet: Fleet,
    arrivals: list[Arrival],
    on_record: OnRecord,
) -> dict[str, LoadRecord]:
    plan = LoadPlan(
        start=time.monotonic(),
        entries=[entry.url for entry in fleet.entries],
        token=fleet.deployment.token,
        patience_s=CALLER_TIMEOUT_S,
        seed=1,
        arrivals=arrivals,
    )
    records = await Caller(plan, on_record).run()
    return {record.key: record for record in records}


def _build_report(
    fleet: Fleet,
    counters: FleetCounters,
    arrivals: list[Arrival],
    records: dict[str, LoadRecord],
    overhead_ms: float,
) -> DemoReport:
    slots_by_service = fleet.deployment.count_service_slots()
    starts = report_starts(arrivals, records, count_starts(fleet))
    return DemoReport(
        overall=report_requests(arrivals, records, slots_by_service, overhead_ms),
        by_service=report_requests_by_service(
            arrivals, records, slots_by_service, overhead_ms
        ),
        starts=starts,
        messages=measure_message_overhead(counters.messages, starts.tasks_done),
        crashed=fleet.crashed,
    )
