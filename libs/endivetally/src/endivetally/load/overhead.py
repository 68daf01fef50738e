"""Measures the least overhead of a request, which is part of the ideal."""

from typing import Final

from endivetally_config.operator_config import ServiceKind

from endivetally.fleet import Fleet
from endivetally.fleet.process import FleetError
from endivetally.load.generator import LoadGenerator
from endivetally.load.mix import Arrival
from endivetally.load.responses import Verdict

WIRE_PROBES: Final = 30
WIRE_PROBE_RUN_MS: Final = 20
WIRE_PROBE_GAP_S: Final = 0.1


async def measure_wire_ms(fleet: Fleet) -> float:
    """Return the least overhead of idempotent requests to an idle fleet.

    :raises FleetError: when a request is not answered whole.
    """
    services = fleet.deployment.text.services
    service = next(each for each in services if each.kind is ServiceKind.IDEMPOTENT)
    probes = [
        Arrival(
            at_s=number * WIRE_PROBE_GAP_S,
            service=service.name,
            kind=service.kind,
            key=f'wire-{number}',
            run_ms=[WIRE_PROBE_RUN_MS],
        )
        for number in range(WIRE_PROBES)
    ]
    generator = LoadGenerator(
        [entry.url for entry in fleet.entries],
        fleet.deployment.token,
        fleet.directory,
    )
    records = await generator.run(probes, seed=0)
    unanswered = [each.code for each in records if each.verdict is not Verdict.WHOLE]
    if unanswered:
        raise FleetError(f'the idle fleet answered {unanswered}')
    return min(record.response_ms for record in records) - WIRE_PROBE_RUN_MS
