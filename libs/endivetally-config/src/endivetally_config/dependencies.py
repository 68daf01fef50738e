"""Checks of the dependencies between services."""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass

from endivetally_config.exceptions import Fault
from endivetally_config.exceptions import quote


@dataclass(frozen=True, slots=True)
class Dependency:
    """One element of a service's ``depends_on`` and where it stands."""

    service: str
    needed: str
    path: str


def find_dependency_faults(
    services: Mapping[int, Mapping[str, object]],
) -> list[Fault]:
    """Return unknown names, services that need themselves, and cycles.

    :param services: parsed services by their index in the text.
    """
    dependencies = list(_read_dependencies(services))
    declared = [service.get('name') for service in services.values()]
    names = {name for name in declared if isinstance(name, str)}
    first_paths: dict[tuple[str, str], str] = {}
    faults = []
    for dependency in dependencies:
        edge = (dependency.service, dependency.needed)
        first_path = first_paths.setdefault(edge, dependency.path)
        if first_path != dependency.path:
            faults.append(Fault(dependency.path, f'the same as {first_path}'))
        elif dependency.needed not in names:
            message = f'unknown service {quote(dependency.needed)}'
            faults.append(Fault(dependency.path, message))
    return faults + _find_cycle_faults(dependencies)


def find_cycles(graph: Mapping[str, list[str]]) -> list[tuple[str, ...]]:
    """Return the cycles that a depth-first search closes, first name repeated.

    >>> find_cycles({'a': ['b'], 'b': ['c'], 'c': ['a', 'd'], 'd': []})
    [('a', 'b', 'c', 'a')]
    """
    finished: set[str] = set()
    return [
        cycle for name in graph for cycle in _close_cycles(graph, (name,), finished)
    ]


def _read_dependencies(
    services: Mapping[int, Mapping[str, object]],
) -> Iterator[Dependency]:
    for index, service in services.items():
        name = service.get('name')
        needed = service.get('depends_on')
        if not isinstance(name, str) or not isinstance(needed, list):
            continue
        for position, other in enumerate(needed):
            path = f'$.services[{index}].depends_on[{position}]'
            if isinstance(other, str):
                yield Dependency(name, other, path)


def _close_cycles(
    graph: Mapping[str, list[str]],
    trail: tuple[str, ...],
    finished: set[str],
) -> Iterator[tuple[str, ...]]:
    name = trail[-1]
    if name in finished:
        return
    if name in trail[:-1]:
        yield trail[trail.index(name) :]
        return
    for needed in graph.get(name, ()):
        yield from _close_cycles(graph, (*trail, needed), finished)
    finished.add(name)


def _find_cycle_faults(dependencies: list[Dependency]) -> list[Fault]:
    graph: dict[str, list[str]] = {}
    paths: dict[tuple[str, ...], str] = {}
    for dependency in dependencies:
        edge = (dependency.service, dependency.needed)
        if edge not in paths:
            graph.setdefault(dependency.service, []).append(dependency.needed)
            paths[edge] = dependency.path
    return [Fault(paths[cycle[-2:]], _describe(cycle)) for cycle in find_cycles(graph)]


def _describe(cycle: tuple[str, ...]) -> str:
    if len(cycle) == 2:
        return f'{quote(cycle[0])} depends on itself'
    return f'cycle {" -> ".join(map(quote, cycle))}'
