"""The mixes of requests of the two deployments."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind

from endivetally.fleet.deployment import Deployment
from endivetally.load.mix import RequestKind
from endivetally.load.mix import RunTimes

JOB_TASKS: Final = (2, 16)
# Share of a pool's load that each service brings, in elevenths.
LOAD_SHARES: Final[Mapping[str, int]] = MappingProxyType(
    {
        'lookups': 5,
        'sweeps': 4,
        'notes': 2,
        'quota-checks': 2,
        'logbooks': 7,
        'quota-bookings': 2,
    }
)
LOAD_SHARES_SUM: Final = 11
LOOKUP_TAIL: Final = 0.02


def request_kinds(deployment: Deployment) -> tuple[RequestKind, ...]:
    """Return the mix of a deployment, by the load share of each service."""
    kinds: list[RequestKind] = []
    for service in deployment.config.services:
        job = service.kind is ServiceKind.JOB
        lookup = service.kind is ServiceKind.IDEMPOTENT
        min_tasks, max_tasks = JOB_TASKS if job else (1, 1)
        kind = RequestKind(
            service=service.name,
            service_kind=service.kind,
            slots=_loaded_slots(deployment, service),
            run_times=RunTimes(tail_share=LOOKUP_TAIL) if lookup else RunTimes(),
            min_tasks=min_tasks,
            max_tasks=max_tasks,
        )
        kinds.append(kind)
    return tuple(kinds)


def _loaded_slots(deployment: Deployment, service: Service) -> float:
    share = LOAD_SHARES[service.name] / LOAD_SHARES_SUM
    return deployment.count_pool_slots(service.target_pool) * share
