"""Batches the acknowledgements of finished requests, which are sent to agents."""

from typing import TYPE_CHECKING

from endivetally_core.messages import Acknowledge

if TYPE_CHECKING:
    from collections.abc import Iterable

    from endivetally_entry.agent_registry import AgentRegistry


class AcknowledgementBatcher:
    """Collects the sequence numbers of finished requests per agent.

    Agents retain the results of journalled requests so that another entry can
    recover them after a takeover. When an agent runs out of memory for results,
    it evicts acknowledged ones first.

    :param owner: incarnation of this entry.
    """

    def __init__(self, owner: str, agent_registry: 'AgentRegistry') -> None:
        self._owner = owner
        self._agent_registry = agent_registry
        self._sequences_by_agent: dict[str, list[int]] = {}

    def add_request(self, agents: 'Iterable[str]', sequence: int) -> None:
        """Queue the acknowledgement of a finished request.

        An agent that is draining gets it at once.

        :param agents: incarnations of the agents that the request used.
        """
        for incarnation in agents:
            agent = self._agent_registry.get(incarnation)
            if agent is None:
                continue
            self._sequences_by_agent.setdefault(incarnation, []).append(sequence)
            if agent.state == 'leaving':
                self.flush_agent(incarnation)

    def flush_agent(self, incarnation: str) -> None:
        """Send the queued acknowledgements of one agent."""
        sequences = self._sequences_by_agent.pop(incarnation, None)
        if sequences:
            self._agent_registry.post(incarnation, Acknowledge(self._owner, sequences))

    def flush_all(self) -> None:
        """Send the queued acknowledgements of every agent."""
        for incarnation in list(self._sequences_by_agent):
            self.flush_agent(incarnation)
