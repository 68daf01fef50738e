"""Checks of the dependencies between services: names, duplicates and cycles."""

from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass

from endivetally_config.exceptions import Fault
from endivetally_config.exceptions import quote


@dataclass(frozen=True, slots=True)
class Dependency:
    """An element of a service's ``depends_on``.

    :param service: name of the service that depends on another.
    :param required: name of the service that it depends on.
    :param path: JSON path of the element.
    """

    service: str
    required: str
    path: str


def find_dependency_faults(
    services: Mapping[int, Mapping[str, object]],
) -> list[Fault]:
    """Return repeated dependencies, unknown services and dependency cycles.

    A service that depends on itself is a cycle as well.

    :param services: parsed services by their index in the configuration.
    """
    dependencies = list(_read_dependencies(services))
    declared = [service.get('name') for service in services.values()]
    names = {name for name in declared if isinstance(name, str)}
    first_paths: dict[tuple[str, str], str] = {}
    faults = []
    for dependency in dependencies:
        edge = (dependency.service, dependency.required)
        first_path = first_paths.setdefault(edge, dependency.path)
        if first_path != dependency.path:
            faults.append(Fault(dependency.path, f'the same as {first_path}'))
        elif dependency.required not in names:
            message = f'unknown service {quote(dependency.required)}'
            faults.append(Fault(dependency.path, message))
    return faults + _find_cycle_faults(dependencies)


def find_cycles(graph: Mapping[str, list[str]]) -> list[tuple[str, ...]]:
    """Return the cycles that a depth-first search finds.

    Each cycle ends with the name that it starts with. Not all elementary cycles
    are found, but at least one if there is any.

    :param graph: names of the successors by name.

    >>> find_cycles({'a': ['b'], 'b': ['c'], 'c': ['a', 'd'], 'd': []})
    [('a', 'b', 'c', 'a')]
    """
    finished: set[str] = set()
    return [
        cycle for name in graph for cycle in _search_cycles(graph, (name,), finished)
    ]


def _read_dependencies(
    services: Mapping[int, Mapping[str, object]],
) -> Iterator[Dependency]:
    for index, service in services.items():
        name = service.get('name')
        required_names = service.get('depends_on')
        if not isinstance(name, str) or not isinstance(required_names, list):
            continue
        for position, required in enumerate(required_names):
            path = f'$.services[{index}].depends_on[{position}]'
            if isinstance(required, str):
                yield Dependency(name, required, path)


def _search_cycles(
    graph: Mapping[str, list[str]],
    ancestors: tuple[str, ...],
    finished: set[str],
) -> Iterator[tuple[str, ...]]:
    name = ancestors[-1]
    if name in finished:
        return
    if name in ancestors[:-1]:
        yield ancestors[ancestors.index(name) :]
        return
    for successor in graph.get(name, ()):
        yield from _search_cycles(graph, (*ancestors, successor), finished)
    finished.add(name)


def _find_cycle_faults(dependencies: list[Dependency]) -> list[Fault]:
    graph: dict[str, list[str]] = {}
    paths: dict[tuple[str, ...], str] = {}
    for dependency in dependencies:
        edge = (dependency.service, dependency.required)
        if edge not in paths:
            graph.setdefault(dependency.service, []).append(dependency.required)
            paths[edge] = dependency.path
    return [
        Fault(paths[cycle[-2:]], _describe_cycle(cycle)) for cycle in find_cycles(graph)
    ]


def _describe_cycle(cycle: tuple[str, ...]) -> str:
    if len(cycle) == 2:
        return f'{quote(cycle[0])} depends on itself'
    return f'cycle {" -> ".join(map(quote, cycle))}'
