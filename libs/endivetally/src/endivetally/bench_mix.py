"""The mixes of requests of the two deployments."""

from typing import Final

from endivetally_config.text import ServiceKind

from endivetally.fleet_deployment import Deployment
from endivetally.load_mix import RequestKind
from endivetally.load_mix import RunTimes

JOB_TASKS: Final = (2, 16)
LOOKUP_TAIL: Final = 0.02


def request_kinds(deployment: Deployment) -> tuple[RequestKind, ...]:
    """Return the mix of a deployment: each service loads its own workers."""
    kinds: list[RequestKind] = []
    for service in deployment.text.services:
        job = service.kind is ServiceKind.JOB
        lookup = service.kind is ServiceKind.IDEMPOTENT
        least, most = JOB_TASKS if job else (1, 1)
        kind = RequestKind(
            service=service.name,
            kind=service.kind,
            slots=deployment.slots_of(service.name),
            run_times=RunTimes(tail_share=LOOKUP_TAIL) if lookup else RunTimes(),
            least_tasks=least,
            most_tasks=most,
        )
        kinds.append(kind)
    return tuple(kinds)
