"""Agents known to this entry, each with its link and last reported state."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from endivetally_core.joining import AgentIdentity
from endivetally_core.messages import AnyMessage

if TYPE_CHECKING:
    from endivetally_core.links import Link


@dataclass(slots=True)
class RegisteredAgent:
    """An agent with its link, its state and the time of its last frame.

    :param link: the open link; ``None`` while the agent is disconnected.
    :param state: last reported state, or ``silent``.
    :param losses: number of times that its last open link was lost.
    :param last_received_at: time of its last frame, on the event loop's clock.
    :param watched: whether it sends heartbeats to this entry.
    :param probed_at: time of the probe that it has not responded to yet; ``None``
        when there is none.
    """

    identity: AgentIdentity
    link: 'Link | None'
    state: str = 'closed'
    running: int = 0
    memory_mb: int = 0
    losses: int = 0
    last_received_at: float = 0
    watched: bool = False
    probed_at: float | None = None

    @property
    def slots(self) -> int:
        """Number of tasks that its target runs at once."""
        return self.identity.slots

    def reset_silence(self, now: float) -> None:
        """Restart the silence timeout and clear the pending probe."""
        self.last_received_at = now
        self.probed_at = None

    def is_responsive(
        self, now: float, heartbeat_timeout_s: float, probe_timeout_s: float
    ) -> bool:
        """Return whether no heartbeat and no probe response is late.

        An agent that neither sends heartbeats here nor has been probed counts as
        responsive. A disconnected or silent agent does not.

        :param heartbeat_timeout_s: longest time between two heartbeats.
        :param probe_timeout_s: longest time until the response to a probe.
        """
        if self.link is None or self.state == 'silent':
            return False
        if self.watched:
            return now - self.last_received_at < heartbeat_timeout_s
        return self.probed_at is None or now - self.probed_at < probe_timeout_s

    def is_overdue(self, now: float, silence_s: float) -> bool:
        """Return whether an expected frame is late by more than a silence timeout.

        Frames are expected from agents that send heartbeats here and from agents
        that have been probed. A disconnected agent is never overdue.
        """
        if self.link is None:
            return False
        if self.watched:
            return now - self.last_received_at > silence_s
        return self.probed_at is not None and now - self.probed_at > silence_s


class AgentRegistry:
    """Known agents by incarnation."""

    def __init__(self) -> None:
        self._agents: dict[str, RegisteredAgent] = {}

    @property
    def agents(self) -> list[RegisteredAgent]:
        """All known agents, connected or not."""
        return list(self._agents.values())

    def get(self, incarnation: str) -> RegisteredAgent | None:
        """Return an agent by its incarnation, if it is known."""
        return self._agents.get(incarnation)

    def register_link(self, identity: AgentIdentity, link: 'Link') -> RegisteredAgent:
        """Store the link of an agent that joined, and close its previous link."""
        agent = self._agents.get(identity.incarnation)
        if agent is None:
            agent = RegisteredAgent(identity, link)
            self._agents[identity.incarnation] = agent
        elif agent.link is not None:
            agent.link.close()
        agent.link = link
        agent.identity = identity
        agent.watched = False
        agent.reset_silence(asyncio.get_running_loop().time())
        return agent

    def remove(self, incarnation: str) -> None:
        """Remove an agent that did not reconnect."""
        self._agents.pop(incarnation, None)

    def post(self, incarnation: str, message: AnyMessage) -> None:
        """Send a message, or drop it when the agent is disconnected."""
        agent = self._agents.get(incarnation)
        if agent is not None and agent.link is not None:
            agent.link.post(message)

    def broadcast(self, message: AnyMessage) -> None:
        """Send a message to every connected agent."""
        for incarnation in self._agents:
            self.post(incarnation, message)

    def broadcast_to_watched(self, message: AnyMessage) -> None:
        """Send a message to the agents that send heartbeats to this entry."""
        for incarnation, agent in self._agents.items():
            if agent.watched:
                self.post(incarnation, message)

    def reset_silence(self) -> None:
        """Restart every silence timeout, after this process was paused."""
        now = asyncio.get_running_loop().time()
        for agent in self._agents.values():
            agent.reset_silence(now)
