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
from endivetally.fleet.deployment import EntryPlacement
from endivetally.fleet.deployment import Worker
from endivetally.fleet.registry import ProcessRegistry

# Process name of the table service stand-in.
TABLE: Final = 'table'


def build_table_arguments(registry: ProcessRegistry) -> list[str]:
    """Return the command-line arguments of the table service stand-in."""
    return _format_options(
        'endivetally_standins.table_service',
        {
            'port': str(registry.choose_listen_address(TABLE).port),
            'ready-file': registry.get_ready_file(TABLE),
        },
    )


def build_entry_arguments(
    registry: ProcessRegistry,
    placement: EntryPlacement,
    deployment: Deployment,
    seeds: tuple[Address, ...],
) -> list[str]:
    """Write the settings file of an entry and return its command-line arguments."""
    settings = EntrySettings(
        name=placement.name,
        data_centre=placement.data_centre,
        listen=registry.choose_listen_address(placement.name),
        table=registry.get_process(TABLE).address,
        operator_token=OPERATOR_TOKEN,
        seeds=seeds,
        ready_file=registry.get_ready_file(placement.name),
        allow_shaping=True,
        scheduler=deployment.scheduler,
    )
    fields = msgspec.to_builtins(settings)
    return _write_settings(registry, placement.name, 'endivetally_entry', fields)


def build_agent_arguments(
    registry: ProcessRegistry,
    worker: Worker,
    seeds: tuple[Address, ...],
) -> list[str]:
    """Write the settings file of an agent and return its command-line arguments."""
    settings = AgentSettings(
        name=worker.agent,
        data_centre=worker.data_centre,
        rack=worker.rack,
        listen=registry.choose_listen_address(worker.agent),
        table=registry.get_process(TABLE).address,
        seeds=seeds,
        ready_file=registry.get_ready_file(worker.agent),
        allow_shaping=True,
    )
    fields = msgspec.to_builtins(settings)
    return _write_settings(registry, worker.agent, 'endivetally_agent', fields)


def build_target_arguments(
    registry: ProcessRegistry,
    worker: Worker,
    deployment: Deployment,
    record_file: str,
) -> list[str]:
    """Return the command-line arguments of a target stand-in."""
    return _format_options(
        'endivetally_standins.target',
        {
            'agent': str(registry.get_process(worker.agent).address),
            'service': worker.service,
            'slots': str(deployment.slots),
            'connections': str(deployment.connections),
            'memory-mb': str(deployment.memory_mb),
            'ready-file': registry.get_ready_file(worker.target),
            'record': record_file,
        },
    )


def _format_options(module: str, options: dict[str, str]) -> list[str]:
    pairs = ((f'--{option}', argument) for option, argument in options.items())
    return ['-m', module, *itertools.chain.from_iterable(pairs)]


def _write_settings(
    registry: ProcessRegistry,
    name: str,
    module: str,
    fields: dict[str, object],
) -> list[str]:
    settings_file = registry.directory / f'{name}.json'
    settings_file.write_text(json.dumps(fields))
    return ['-m', module, str(settings_file)]
