"""Clients that tell by its start whether another instance of a target answers."""

from endivetally_held.instances import InstanceHistory
from endivetally_held.jobs import TaskKey
from endivetally_held.target_client import CommandResponse
from endivetally_held.target_client import FencedLease
from endivetally_held.target_client import Instance
from endivetally_held.target_client import PollResult
from endivetally_held.target_client import TargetClient
from endivetally_held.target_client import TargetClientFactory
from endivetally_held.target_client import TargetReport
from endivetally_held.target_client import TargetSessionLost


class InstanceClient(TargetClient):
    """Checks each answer to a poll; responses to commands contain no start."""

    def __init__(
        self, client: TargetClient, instance: Instance, history: InstanceHistory
    ) -> None:
        self._client = client
        self._instance = instance
        self._history = history

    async def start_run(
        self, task: TaskKey, run_number: int, payload: str, lease: FencedLease
    ) -> CommandResponse:
        """Start a run of a task."""
        return await self._client.start_run(task, run_number, payload, lease)

    async def stop_run(
        self, task: TaskKey, run_number: int, lease: FencedLease
    ) -> CommandResponse:
        """Stop a run."""
        return await self._client.stop_run(task, run_number, lease)

    async def poll(
        self, lease: FencedLease, last_seen: int, wait_s: float, timeout_s: float
    ) -> PollResult:
        """Poll the target; only an answer of this instance is returned."""
        try:
            poll_result = await self._client.poll(lease, last_seen, wait_s, timeout_s)
        except TargetSessionLost as error:
            if error.born_ms is not None:
                self._history.check_answer(self._instance, error.born_ms)
            raise
        self._history.check_answer(self._instance, poll_result.born_ms)
        return poll_result

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()


class InstanceClientFactory(TargetClientFactory):
    """Creates clients that check answers."""

    def __init__(
        self, client_factory: TargetClientFactory, history: InstanceHistory
    ) -> None:
        self._client_factory = client_factory
        self._history = history

    def create_client(self, report: TargetReport) -> TargetClient:
        """Return a client for the instance that sent a report."""
        client = self._client_factory.create_client(report)
        return InstanceClient(client, report.instance, self._history)
