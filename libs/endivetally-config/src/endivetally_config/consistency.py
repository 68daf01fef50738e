"""Checks of the operators' configuration that compare several fields."""

from collections.abc import Mapping
from typing import Any
from typing import Final

from endivetally_config.dependencies import find_dependency_faults
from endivetally_config.exceptions import Fault
from endivetally_config.operator_config import OperatorConfig

MAX_SERVICES: Final = 200
MAX_TEAMS: Final = 400

DEFAULT_LARGEST_WORKER_MEMORY_MB: Final = OperatorConfig(
    (), ()
).largest_worker_memory_mb


def find_consistency_faults(parsed: object) -> list[Fault]:
    """Return the faults in the relations between fields of a configuration.

    Values of the wrong type are skipped; `find_structure_faults` reports them. If
    there are no services or teams, or more than allowed, only that is reported.

    :param parsed: the configuration as returned by ``json.loads``.
    """
    if not isinstance(parsed, dict):
        return []
    services = _index_objects(parsed.get('services'))
    teams = _index_objects(parsed.get('teams'))
    faults = _find_count_faults(parsed)
    if faults:
        return faults
    faults += _find_duplicates(services, 'services', 'name')
    faults += _find_duplicates(teams, 'teams', 'name')
    faults += _find_duplicates(teams, 'teams', 'token')
    faults += find_dependency_faults(services)
    faults += _find_memory_faults(services, parsed)
    return faults


def _index_objects(parsed: object) -> dict[int, dict[str, Any]]:
    if not isinstance(parsed, list):
        return {}
    return {
        index: element
        for index, element in enumerate(parsed)
        if isinstance(element, dict)
    }


def _find_count_faults(parsed: Mapping[str, object]) -> list[Fault]:
    faults = []
    for field, limit in (('services', MAX_SERVICES), ('teams', MAX_TEAMS)):
        elements = parsed.get(field)
        if not isinstance(elements, list):
            continue
        if not elements:
            faults.append(Fault(f'$.{field}', 'needs at least one element'))
        if len(elements) > limit:
            message = f'has {len(elements)} elements, the limit is {limit}'
            faults.append(Fault(f'$.{field}', message))
    return faults


def _find_duplicates(
    elements: Mapping[int, Mapping[str, object]],
    list_name: str,
    field: str,
) -> list[Fault]:
    first_uses: dict[str, str] = {}
    faults = []
    for index, element in elements.items():
        content = element.get(field)
        if not isinstance(content, str):
            continue
        path = f'$.{list_name}[{index}].{field}'
        first_use = first_uses.setdefault(content, path)
        if first_use != path:
            faults.append(Fault(path, f'the same as {first_use}'))
    return faults


def _find_memory_faults(
    services: Mapping[int, Mapping[str, object]],
    parsed: Mapping[str, object],
) -> list[Fault]:
    largest_mb = parsed.get(
        'largest_worker_memory_mb', DEFAULT_LARGEST_WORKER_MEMORY_MB
    )
    if not isinstance(largest_mb, int):
        return []
    faults = []
    for index, service in services.items():
        memory_mb = service.get('memory_mb')
        if isinstance(memory_mb, int) and memory_mb > largest_mb:
            path = f'$.services[{index}].memory_mb'
            message = f'{memory_mb} MB, the largest worker has {largest_mb} MB'
            faults.append(Fault(path, message))
    return faults
