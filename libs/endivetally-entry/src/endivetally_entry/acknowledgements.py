"""Tells agents, in batches, which requests have their answer."""

from typing import TYPE_CHECKING

from endivetally_core.messages import Acknowledge

if TYPE_CHECKING:
    from collections.abc import Iterable

    from endivetally_entry.agent_registry import AgentRoster


class Acknowledgements:
    """Collects answered requests by agent until the next flush.

    An agent keeps the results of journalled requests for a former owner's
    successor; once acknowledged, they are the first to go when memory is short.

    :param owner: incarnation of this entry.
    """

    def __init__(self, owner: str, roster: 'AgentRoster') -> None:
        self._owner = owner
        self._roster = roster
        self._answered: dict[str, list[int]] = {}

    def add(self, agents: 'Iterable[str]', sequence: int) -> None:
        """Note that a request that used these agents has its answer."""
        for agent in agents:
            known = self._roster.get(agent)
            if known is None:
                continue
            self._answered.setdefault(agent, []).append(sequence)
            if known.state == 'leaving':
                self.flush_agent(agent)

    def flush_agent(self, agent: str) -> None:
        """Tell one agent at once, for example because it drains."""
        sequences = self._answered.pop(agent, None)
        if sequences:
            self._roster.post(agent, Acknowledge(self._owner, sequences))

    def flush(self) -> None:
        """Tell every agent."""
        for agent in list(self._answered):
            self.flush_agent(agent)
