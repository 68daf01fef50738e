"""One run of the bench: a fleet, a load, a fault, a report."""

import asyncio
import time
from collections.abc import Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Final

from endivetally.bench.counters import FleetProbe
from endivetally.bench.counters import read_starts
from endivetally.bench.faults import Fault
from endivetally.bench.faults import run_fault
from endivetally.bench.messages import message_costs
from endivetally.bench.mix import request_kinds
from endivetally.bench.report import Capacity
from endivetally.bench.report import RunReport
from endivetally.fleet import Fleet
from endivetally.fleet.deployment import Deployment
from endivetally.load.fcfs import floor_ratios
from endivetally.load.generator import LoadGenerator
from endivetally.load.mix import plan_arrivals
from endivetally.load.overhead import measure_wire_ms
from endivetally.load.report import Percentiles
from endivetally.load.report import late_percentiles
from endivetally.load.report import offered_load
from endivetally.load.report import report_kind
from endivetally.load.report import report_kinds
from endivetally.load.report import report_starts
from endivetally.load.report import tasks_whole_within
from endivetally.load.sender import LoadRecord

SETTLE_S: Final = 1
_MS_PER_S: Final = 1000


@dataclass(frozen=True, slots=True)
class BenchPlan:
    """What one run does.

    :param load: 1 occupies all slots on average.
    :param wire_ms: the wire's minimum; ``None`` measures it first.
    """

    deployment: Deployment
    seed: int
    seconds: float
    load: float
    fault: Fault
    wire_ms: float | None = None


class BenchRun:
    """Runs a plan.

    :param plan: what to do.
    """

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
            wire_ms = self._plan.wire_ms or await measure_wire_ms(fleet)
            return await self._measure(fleet, wire_ms)

    async def _measure(self, fleet: Fleet, wire_ms: float) -> RunReport:
        probe = FleetProbe(fleet)
        await probe.begin()
        records = await self._load(fleet, probe)
        await asyncio.sleep(SETTLE_S)
        await probe.finish()
        return self._report(fleet, probe, records, wire_ms)

    async def _load(self, fleet: Fleet, probe: FleetProbe) -> list[LoadRecord]:
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
                run_fault(self._plan.fault, fleet, probe, self._plan.seconds),
            )
        return load.result()

    def _report(
        self,
        fleet: Fleet,
        probe: FleetProbe,
        records: list[LoadRecord],
        wire_ms: float,
    ) -> RunReport:
        by_key = {record.key: record for record in records}
        slots_of = fleet.deployment.slots_by_service()
        starts = report_starts(self._arrivals, by_key, read_starts(fleet))
        return RunReport(
            overall=report_kind(self._arrivals, by_key, slots_of, wire_ms),
            kinds=report_kinds(self._arrivals, by_key, slots_of, wire_ms),
            starts=starts,
            costs=message_costs(probe.messages, starts.tasks_done),
            capacity=self._capacity(by_key),
            wire_ms=wire_ms,
            cpu_ms_per_task={
                role: cpu_s * _MS_PER_S / max(starts.tasks_done, 1)
                for role, cpu_s in probe.cpu_s.items()
            },
            late_ms=late_percentiles(records),
            crashed=fleet.crashed,
            floors=self._floors(wire_ms),
            offered=offered_load(self._arrivals, self._slots, self._plan.seconds),
        )

    def _floors(self, wire_ms: float) -> dict[str, Percentiles]:
        deployment = self._plan.deployment
        pool_of = {each.name: each.target_pool for each in deployment.text.services}
        floors: dict[str, Percentiles] = {}
        for pool in set(pool_of.values()):
            arrivals = [due for due in self._arrivals if pool_of[due.service] == pool]
            floors.update(floor_ratios(arrivals, deployment.slots_of(pool), wire_ms))
        return floors

    def _capacity(self, records: Mapping[str, LoadRecord]) -> Capacity:
        seconds = self._plan.seconds
        run_ms = tasks_whole_within(self._arrivals, records, seconds)
        return Capacity(
            goodput=len(run_ms) / seconds,
            useful_share=sum(run_ms) / (self._slots * seconds * _MS_PER_S),
        )
