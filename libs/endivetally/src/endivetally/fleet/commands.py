"""Settings files and command lines of the processes of a fleet."""

import itertools
import json
from typing import Final

import msgspec
from endivetally_config.settings import AgentSettings
from endivetally_config.settings import EntrySettings
from endivetally_core.joining import Address

from endivetally.fleet.deployment import OPERATOR_TOKEN
from endivetally.fleet.deployment import Deployment
from endivetally.fleet.deployment import EntryPlace
from endivetally.fleet.deployment import Worker
from endivetally.fleet.group import ProcessGroup

TABLE: Final = 'table'


def table_arguments(group: ProcessGroup) -> list[str]:
    """Return the arguments of the stand-in of the table service."""
    return _options(
        'endivetally_standins.table_service',
        {
            'port': str(group.listen_address(TABLE).port),
            'ready-file': group.ready_file(TABLE),
        },
    )


def entry_arguments(
    group: ProcessGroup,
    place: EntryPlace,
    deployment: Deployment,
    seeds: tuple[Address, ...],
) -> list[str]:
    """Write the settings of an entry and return its arguments."""
    settings = EntrySettings(
        name=place.name,
        data_centre=place.data_centre,
        listen=group.listen_address(place.name),
        table=group.get(TABLE).address,
        operator_token=OPERATOR_TOKEN,
        seeds=seeds,
        ready_file=group.ready_file(place.name),
        allow_shaping=True,
        scheduler=deployment.scheduler,
    )
    fields = msgspec.to_builtins(settings)
    return _daemon(group, place.name, 'endivetally_entry', fields)


def agent_arguments(
    group: ProcessGroup,
    worker: Worker,
    seeds: tuple[Address, ...],
) -> list[str]:
    """Write the settings of an agent and return its arguments."""
    settings = AgentSettings(
        name=worker.agent,
        data_centre=worker.data_centre,
        rack=worker.rack,
        listen=group.listen_address(worker.agent),
        table=group.get(TABLE).address,
        seeds=seeds,
        ready_file=group.ready_file(worker.agent),
        allow_shaping=True,
    )
    fields = msgspec.to_builtins(settings)
    return _daemon(group, worker.agent, 'endivetally_agent', fields)


def target_arguments(
    group: ProcessGroup,
    worker: Worker,
    deployment: Deployment,
    record_file: str,
) -> list[str]:
    """Return the arguments of the stand-in of a target."""
    return _options(
        'endivetally_standins.target',
        {
            'agent': str(group.get(worker.agent).address),
            'service': worker.service,
            'slots': str(deployment.slots),
            'connections': str(deployment.connections),
            'memory-mb': str(deployment.memory_mb),
            'ready-file': group.ready_file(worker.target),
            'record': record_file,
        },
    )


def _options(module: str, options: dict[str, str]) -> list[str]:
    pairs = ((f'--{option}', argument) for option, argument in options.items())
    return ['-m', module, *itertools.chain.from_iterable(pairs)]


def _daemon(
    group: ProcessGroup,
    name: str,
    module: str,
    fields: dict[str, object],
) -> list[str]:
    settings_file = group.directory / f'{name}.json'
    settings_file.write_text(json.dumps(fields))
    return ['-m', module, str(settings_file)]
