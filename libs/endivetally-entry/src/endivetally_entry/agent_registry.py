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
    :param watched: it heartbeats this entry.
    :param probed_at: when it was asked for its state; ``None`` once it is heard.
    """

    identity: AgentIdentity
    link: 'Link | None'
    state: str = 'closed'
    running: int = 0
    memory_mb: int = 0
    heard_at: float = 0
    watched: bool = False
    probed_at: float | None = None

    @property
    def slots(self) -> int:
        """Tasks that its target runs at once."""
        return self.identity.slots

    def heard(self, now: float) -> None:
        """Note that a frame arrived, or that silence is forgiven."""
        self.heard_at = now
        self.probed_at = None

    def answers(self, now: float, heartbeat_s: float, answer_s: float) -> bool:
        """Whether it was heard lately, or nothing was expected of it.

        :param heartbeat_s: longest time between two heartbeats.
        :param answer_s: longest time to the answer of a probe.
        """
        if self.link is None or self.state == 'silent':
            return False
        if self.watched:
            return now - self.heard_at < heartbeat_s
        return self.probed_at is None or now - self.probed_at < answer_s

    def is_overdue(self, now: float, silence_s: float) -> bool:
        """Whether it had to be heard and was not, for this long."""
        if self.link is None:
            return False
        if self.watched:
            return now - self.heard_at > silence_s
        return self.probed_at is not None and now - self.probed_at > silence_s


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
        known.watched = False
        known.heard(asyncio.get_running_loop().time())
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

    def broadcast_to_watched(self, message: AnyMessage) -> None:
        """Send a message to the agents that heartbeat this entry."""
        for incarnation, known in self._agents.items():
            if known.watched:
                self.post(incarnation, message)

    def restart_silence(self) -> None:
        """Forgive silence, after this process itself was stopped."""
        now = asyncio.get_running_loop().time()
        for known in self._agents.values():
            known.heard(now)
