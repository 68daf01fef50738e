"""The lease of all that runs at one life of a target, on the target's clock."""

from collections.abc import Callable
from typing import Final

from endivetally_held.target_client import FencedLease

# Lease of all that runs at the target. A caller's copy of a job arrives 1.3 s
# after its first connection broke; by then the lease of a lost agent has ended,
# also on a clock that is 2% slow.
LEASE_MS: Final = 800
# Bound on the drift of the target's clock, and on the time of an answer.
LEASE_MARGIN: Final = 1.05
ANSWER_MARGIN_S: Final = 0.1
# Without an answer for so long nothing new is started.
CONTACT_LIMIT_S: Final = 0.6


class LeaseTracker:
    """Mandates for orders, and the time after which nothing can run any more.

    :param clock_ms: the target's clock now; also the fencing token, which so rises
        over the lives of the agent beside one life of the target.
    :param clock: steady seconds here.
    """

    def __init__(self, clock_ms: int, clock: Callable[[], float]) -> None:
        self._token = clock_ms
        self._clock = clock
        self._offset_ms = clock_ms - clock() * 1000
        self._answered_at = clock()
        self._ends_at = self._bound()

    @property
    def in_contact(self) -> bool:
        """Whether the target has answered a short time ago."""
        return self.answered_s_ago < CONTACT_LIMIT_S

    @property
    def answered_s_ago(self) -> float:
        """Seconds since the last answer of the target."""
        return self._clock() - self._answered_at

    @property
    def left_s(self) -> float:
        """Seconds until everything at the target has ended, without an answer."""
        return max(self._ends_at - self._clock(), 0)

    @property
    def bare(self) -> FencedLease:
        """A mandate that renews nothing."""
        return FencedLease(self._token)

    def renew(self) -> FencedLease:
        """Return a mandate that renews the lease, whether it is answered or not."""
        self._ends_at = max(self._ends_at, self._bound())
        return FencedLease(
            self._token, int(self._clock() * 1000 + self._offset_ms) + LEASE_MS
        )

    def note_answer(self, clock_ms: int | None) -> None:
        """Take in an answer of the target, with its clock if it told it."""
        self._answered_at = self._clock()
        if clock_ms is not None:
            self._offset_ms = clock_ms - self._answered_at * 1000

    def _bound(self) -> float:
        return self._clock() + LEASE_MS / 1000 * LEASE_MARGIN + ANSWER_MARGIN_S
