"""One bench run: starts a fleet, sends the load, injects a fault and reports."""

import asyncio
import time
from collections.abc import Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final

from endivetally.bench.counters import FleetCounters
from endivetally.bench.counters import count_starts
from endivetally.bench.faults import Fault
from endivetally.bench.faults import inject_during_run
from endivetally.bench.messages import measure_message_overhead
from endivetally.bench.mix import request_kinds
from endivetally.bench.report import RunReport
from endivetally.bench.report import UsefulWork
from endivetally.fleet import Fleet
from endivetally.fleet.deployment import Deployment
from endivetally.load.fcfs import simulate_fcfs
from endivetally.load.generator import LoadGenerator
from endivetally.load.mix import plan_arrivals
from endivetally.load.overhead import measure_overhead_ms
from endivetally.load.report import Percentiles
from endivetally.load.report import completed_run_times
from endivetally.load.report import offered_load
from endivetally.load.report import report_requests
from endivetally.load.report import report_requests_by_service
from endivetally.load.report import report_starts
from endivetally.load.report import send_delay_percentiles
from endivetally.load.sender import LoadRecord

# Delay after the last response before the counters of the processes are read.
COUNTER_DELAY_S: Final = 1
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class BenchPlan:
    """Parameters of one run.

    :param seed: seed of arrivals and run times.
    :param seconds: time during which requests arrive.
    :param load: 1 occupies all slots on average.
    :param overhead_ms: minimum overhead of a request in milliseconds; ``None`` to
        measure it first.
    """

    deployment: Deployment
    seed: int
    seconds: float
    load: float
    fault: Fault
    overhead_ms: float | None = None


class BenchRun:
    """Runs the load of a plan on a new fleet and reports on it."""

    def __init__(self, plan: BenchPlan) -> None:
        self._plan = plan
        self._arrivals = plan_arrivals(
            request_kinds(plan.deployment),
            load=plan.load,
            seconds=plan.seconds,
            seed=plan.seed,
        )

    @property
    def _slots(self) -> int:
        deployment = self._plan.deployment
        return deployment.slots * len(deployment.workers)

    async def run(self) -> RunReport:
        """Start the fleet, send the load and return the report."""
        async with AsyncExitStack() as stack:
            fleet = await stack.enter_async_context(Fleet(self._plan.deployment))
            await fleet.start()
            overhead_ms = self._plan.overhead_ms or await measure_overhead_ms(fleet)
            return await self._measure(fleet, overhead_ms)

    async def _measure(self, fleet: Fleet, overhead_ms: float) -> RunReport:
        counters = FleetCounters(fleet)
        await counters.record_start()
        records = await self._send_load(fleet, counters)
        await asyncio.sleep(COUNTER_DELAY_S)
        await counters.record_end()
        return self._build_report(fleet, counters, records, overhead_ms)

    async def _send_load(
        self, fleet: Fleet, counters: FleetCounters
    ) -> list[LoadRecord]:
        generator = LoadGenerator(
            [entry.url for entry in fleet.entries],
            fleet.deployment.token,
            fleet.directory,
        )
        start: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        async with asyncio.TaskGroup() as group:
            load = group.create_task(
                generator.run(
                    self._arrivals,
                    seed=self._plan.seed,
                    on_start=start.set_result,
                ),
            )
            await asyncio.sleep(await start - time.monotonic())
            group.create_task(
                inject_during_run(
                    self._plan.fault, fleet, counters, self._plan.seconds
                ),
            )
        return load.result()

    def _build_report(
        self,
        fleet: Fleet,
        counters: FleetCounters,
        records: list[LoadRecord],
        overhead_ms: float,
    ) -> RunReport:
        by_key = {record.key: record for record in records}
        slots_by_service = fleet.deployment.count_service_slots()
        starts = report_starts(self._arrivals, by_key, count_starts(fleet))
        return RunReport(
            overall=report_requests(
                self._arrivals, by_key, slots_by_service, overhead_ms
            ),
            by_service=report_requests_by_service(
                self._arrivals, by_key, slots_by_service, overhead_ms
            ),
            starts=starts,
            messages=measure_message_overhead(counters.messages, starts.tasks_done),
            useful_work=self._measure_useful_work(by_key),
            overhead_ms=overhead_ms,
            cpu_ms_per_task={
                role: cpu_s * _MS_PER_S / max(starts.tasks_done, 1)
                for role, cpu_s in counters.cpu_s.items()
            },
            send_delays_ms=send_delay_percentiles(records),
            crashed=fleet.crashed,
            fcfs_ratios=self._simulate_fcfs(overhead_ms),
            offered_load=offered_load(self._arrivals, self._slots, self._plan.seconds),
        )

    def _simulate_fcfs(self, overhead_ms: float) -> dict[str, Percentiles]:
        deployment = self._plan.deployment
        pool_by_service = {
            each.name: each.target_pool for each in deployment.config.services
        }
        ratios: dict[str, Percentiles] = {}
        for pool in set(pool_by_service.values()):
            arrivals = [
                arrival
                for arrival in self._arrivals
                if pool_by_service[arrival.service] == pool
            ]
            ratios.update(
                simulate_fcfs(arrivals, deployment.count_pool_slots(pool), overhead_ms)
            )
        return ratios

    def _measure_useful_work(self, records: Mapping[str, LoadRecord]) -> UsefulWork:
        seconds = self._plan.seconds
        run_ms = completed_run_times(self._arrivals, records, seconds)
        return UsefulWork(
            goodput=len(run_ms) / seconds,
            useful_slot_share=sum(run_ms) / (self._slots * seconds * _MS_PER_S),
        )
