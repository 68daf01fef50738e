"""Simulated network faults and delays between processes, for benchmarks and tests.

A link asks its shaper when to send each frame, and how many times. Production
processes keep the default, which sends every frame immediately.
"""

import random
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Delivery:
    """When and how many times to send one frame.

    :param delays_s: delay of each copy, in seconds; if empty, the link must hold the
        frame and ask again.
    """

    delays_s: tuple[float, ...] = (0,)


IMMEDIATE = Delivery()


class ShapingRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to simulate on the frames that are sent to a set of peers.

    :param peer: prefix of the peers' process names, or name of their data centre.
    :param cut: simulate a network partition: hold every frame, as TCP would, until
        the partition or the link ends.
    :param delay_ms: one-way latency added to each frame, in milliseconds.
    :param jitter_ms: upper limit of a random delay added to each frame, in
        milliseconds; it reorders frames when it exceeds the gap between them.
    :param duplicate: send each frame twice.
    """

    peer: str
    cut: bool = False
    delay_ms: float = 0
    jitter_ms: float = 0
    duplicate: bool = False


class Shaper(ABC):
    """Decides when each outgoing frame is sent, and how many times."""

    @abstractmethod
    def shape(self, peer: str, data_centre: str) -> Delivery:
        """Return when and how many times to send the next frame to a peer."""


class NoShaping(Shaper):
    """Sends every frame immediately and once."""

    def shape(self, peer: str, data_centre: str) -> Delivery:
        """Return an immediate delivery for every peer."""
        return IMMEDIATE


class RuleShaper(Shaper):
    """Applies the first rule that matches the peer's name or its data centre.

    :param seed: seed of the random jitter.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._rules: tuple[ShapingRule, ...] = ()

    @property
    def rules(self) -> tuple[ShapingRule, ...]:
        """Current rules, in order of precedence."""
        return self._rules

    def replace_rules(self, rules: tuple[ShapingRule, ...]) -> None:
        """Replace all rules; frames that are already scheduled keep their delay."""
        self._rules = rules

    def shape(self, peer: str, data_centre: str) -> Delivery:
        """Return the delivery of the matching rule, or an immediate one."""
        rule = self._find_rule(peer, data_centre)
        return IMMEDIATE if rule is None else self._apply_rule(rule)

    def is_partitioned(self, peer: str, data_centre: str) -> bool:
        """Return whether a partition separates the peer; it blocks joining as well."""
        rule = self._find_rule(peer, data_centre)
        return rule is not None and rule.cut

    def _find_rule(self, peer: str, data_centre: str) -> ShapingRule | None:
        for rule in self._rules:
            if peer.startswith(rule.peer) or data_centre == rule.peer:
                return rule
        return None

    def _apply_rule(self, rule: ShapingRule) -> Delivery:
        if rule.cut:
            return Delivery(())
        jitter_ms = self._random.uniform(0, rule.jitter_ms)
        delay_s = (rule.delay_ms + jitter_ms) / 1000
        copies = 2 if rule.duplicate else 1
        return Delivery((delay_s,) * copies)
