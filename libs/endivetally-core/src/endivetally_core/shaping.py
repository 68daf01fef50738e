"""Faults and delays between two processes, for bench and scenarios.

A link asks its shaper what happens to each frame that it is about to send.
Production processes keep the default, which delivers every frame at once.
"""

import random
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Delivery:
    """What happens to one frame.

    :param delays_s: seconds before each copy is sent; empty holds the frame.
    """

    delays_s: tuple[float, ...] = (0,)


IMMEDIATE = Delivery()


class ShapingRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rule for frames to the peers whose name starts with a prefix.

    :param peer: prefix of the peer's process name or data centre.
    :param cut: hold every frame until the cut or the link ends, as TCP would.
    :param delay_ms: one-way latency added to each frame.
    :param jitter_ms: random extra delay; above the gap between frames it
        reorders them.
    :param duplicate: send each frame twice.
    """

    peer: str
    cut: bool = False
    delay_ms: float = 0
    jitter_ms: float = 0
    duplicate: bool = False


class Shaper(ABC):
    """Decides the fate of frames."""

    @abstractmethod
    def shape(self, peer: str, data_centre: str) -> Delivery:
        """Return what happens to the next frame for a peer."""


class NoShaping(Shaper):
    """Delivers every frame at once."""

    def shape(self, peer: str, data_centre: str) -> Delivery:
        """Return an immediate delivery."""
        return IMMEDIATE


class RuleShaper(Shaper):
    """Applies the first rule that matches the peer, else the one for its zone.

    :param seed: seed of the jitter.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._rules: tuple[ShapingRule, ...] = ()

    @property
    def rules(self) -> tuple[ShapingRule, ...]:
        """Rules in force."""
        return self._rules

    def replace_rules(self, rules: tuple[ShapingRule, ...]) -> None:
        """Put a new list of rules in force."""
        self._rules = rules

    def shape(self, peer: str, data_centre: str) -> Delivery:
        """Return what the matching rule says, or an immediate delivery."""
        rule = self._find(peer, data_centre)
        return IMMEDIATE if rule is None else self._apply(rule)

    def is_cut(self, peer: str, data_centre: str) -> bool:
        """Return whether nothing reaches the peer, a join neither."""
        rule = self._find(peer, data_centre)
        return rule is not None and rule.cut

    def _find(self, peer: str, data_centre: str) -> ShapingRule | None:
        for rule in self._rules:
            if peer.startswith(rule.peer) or data_centre == rule.peer:
                return rule
        return None

    def _apply(self, rule: ShapingRule) -> Delivery:
        if rule.cut:
            return Delivery(())
        jitter_ms = self._random.uniform(0, rule.jitter_ms)
        delay_s = (rule.delay_ms + jitter_ms) / 1000
        copies = 2 if rule.duplicate else 1
        return Delivery((delay_s,) * copies)
