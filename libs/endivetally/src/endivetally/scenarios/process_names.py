"""Names of the processes of a deployment and of groups of processes."""

from collections.abc import Iterator

from endivetally.fleet.deployment import Deployment
from endivetally.fleet.deployment import Worker
from endivetally.scenarios.steps import StepFailed


class ProcessNames:
    """Finds processes by name, rack, data centre and role.

    :param deployment: deployment that the fleet runs.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._aliases: dict[str, list[str]] = {}

    def define_alias(self, name: str, processes: list[str]) -> None:
        """Define a name for a list of processes."""
        self._aliases[name] = processes

    def resolve_name(self, name: str) -> list[str]:
        """Return the processes with a defined name, own name, rack or data centre.

        :raises StepFailed: when there is no such process.
        """
        aliased = self._aliases.get(name)
        if aliased is not None:
            return aliased
        found = [
            process
            for process, groups in self._iterate_groups()
            if name == process or name in groups
        ]
        if not found:
            raise StepFailed(
                f'{name} is not the name of a process, rack or data centre'
            )
        return found

    def list_by_role(self, role: str) -> list[str]:
        """Return all processes of a role."""
        names = [process for process, _groups in self._iterate_groups()]
        return [name for name in names if name.startswith(f'{role}-')]

    def find_worker(self, target: str) -> Worker:
        """Return the worker that runs a target."""
        workers = self._deployment.workers
        return next(worker for worker in workers if worker.target == target)

    def find_data_centre(self, process: str) -> str:
        """Return the data centre in which a process runs."""
        return dict(self._iterate_groups())[process][0]

    def _iterate_groups(self) -> Iterator[tuple[str, tuple[str, ...]]]:
        for entry in self._deployment.entries:
            yield entry.name, (entry.data_centre,)
        for worker in self._deployment.workers:
            groups = (worker.data_centre, worker.rack)
            yield worker.agent, groups
            yield worker.target, groups
