"""Agents that this entry knows, with the link to each."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from endivetally_core.joining import AgentIdentity
from endivetally_core.messages import AnyMessage

if TYPE_CHECKING:
    from endivetally_core.links import Link


@dataclass(slots=True)
class KnownAgent:
    """An agent and what is known of it.

    :param link: the open link; ``None`` between two links.
    :param state: last reported state, or ``silent``.
    :param heard_at: time of its last frame, on the event loop's clock.
    """

    identity: AgentIdentity
    link: 'Link | None'
    state: str = 'closed'
    running: int = 0
    memory_mb: int = 0
    heard_at: float = 0

    @property
    def slots(self) -> int:
        """Tasks that its target runs at once."""
        return self.identity.slots


class AgentRoster:
    """The known agents by incarnation."""

    def __init__(self) -> None:
        self._agents: dict[str, KnownAgent] = {}

    @property
    def agents(self) -> list[KnownAgent]:
        """All known agents."""
        return list(self._agents.values())

    def get(self, incarnation: str) -> KnownAgent | None:
        """Return an agent by its incarnation."""
        return self._agents.get(incarnation)

    def link_opened(self, identity: AgentIdentity, link: 'Link') -> KnownAgent:
        """Remember the link of a joining agent; an older one is closed."""
        known = self._agents.get(identity.incarnation)
        if known is None:
            known = KnownAgent(identity, link)
            self._agents[identity.incarnation] = known
        elif known.link is not None:
            known.link.close()
        known.link = link
        known.identity = identity
        known.heard_at = asyncio.get_running_loop().time()
        return known

    def forget(self, incarnation: str) -> None:
        """Drop an agent that is gone."""
        self._agents.pop(incarnation, None)

    def post(self, incarnation: str, message: AnyMessage) -> None:
        """Send a message, if the agent has a link."""
        known = self._agents.get(incarnation)
        if known is not None and known.link is not None:
            known.link.post(message)

    def broadcast(self, message: AnyMessage) -> None:
        """Send a message to every linked agent."""
        for incarnation in self._agents:
            self.post(incarnation, message)
