"""Measures the least overhead of a request, which is part of the ideal."""

from typing import Final

from endivetally_config.operator_config import ServiceKind

from endivetally.fleet import Fleet
from endivetally.fleet.process import FleetError
from endivetally.load.generator import LoadGenerator
from endivetally.load.mix import Arrival
from endivetally.load.responses import Verdict

PROBE_REQUESTS: Final = 30
PROBE_RUN_MS: Final = 20
PROBE_INTERVAL_S: Final = 0.1


async def measure_overhead_ms(fleet: Fleet) -> float:
    """Return the least overhead of idempotent requests to an idle fleet.

    :raises FleetError: when a request is not answered whole.
    """
    services = fleet.deployment.config.services
    service = next(each for each in services if each.kind is ServiceKind.IDEMPOTENT)
    probes = [
        Arrival(
            at_s=number * PROBE_INTERVAL_S,
            service=service.name,
            kind=service.kind,
            key=f'wire-{number}',
            run_ms=[PROBE_RUN_MS],
        )
        for number in range(PROBE_REQUESTS)
    ]
    generator = LoadGenerator(
        [entry.url for entry in fleet.entries],
        fleet.deployment.token,
        fleet.directory,
    )
    records = await generator.run(probes, seed=0)
    unanswered = [each.code for each in records if each.verdict is not Verdict.COMPLETE]
    if unanswered:
        raise FleetError(f'the idle fleet answered {unanswered}')
    return min(record.response_ms for record in records) - PROBE_RUN_MS
