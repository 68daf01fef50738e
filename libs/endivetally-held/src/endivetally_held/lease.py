"""Tracks the lease of an agent's runs at one instance of its target."""

from collections.abc import Callable
from typing import Final

from endivetally_held.target_client import FencedLease

# The target ends all runs this long after the last renewal. A caller resends a job
# 1.3 s after its connection broke; by then the lease of a lost agent has expired,
# even on a clock that is 2% slow.
LEASE_MS: Final = 800
# Upper bounds on the drift of the target's clock and on its response time.
CLOCK_DRIFT_FACTOR: Final = 1.05
RESPONSE_MARGIN_S: Final = 0.1
# The lease is not renewed while the entry of a run has been silent for this time.
# Entries send something every 0.25 s. A killed one may leave a connection that does not
# end; its runs end 1.24 s after its last message, before the caller resends the job.
ENTRY_SILENCE_LIMIT_S: Final = 0.4
# First step by which a token is raised when the target has seen a higher one, and the
# factor of the next steps: 20 of them, each after 50 ms, reach any 60-bit token.
FIRST_TOKEN_STEP_MS: Final = 1000
TOKEN_STEP_FACTOR: Final = 4
# Target and agent exchange tokens as signed 64-bit numbers.
TOKEN_LIMIT: Final = 2**62
# After this time without a response no new run is started.
CONTACT_TIMEOUT_S: Final = 0.6


class LeaseTracker:
    """Renews a lease and tracks when the target must have ended all runs.

    The fencing token is the target's clock in its first response, which is higher than
    the token of any former process of the agent. A report does not serve as well, since
    it may be sent to two of them.

    :param clock_ms: the target's clock in a report; the token until that response.
    :param clock: returns local monotonic time in seconds.
    :param born_ms: start of the instance, which is added to its clock in tokens; its
        clock starts anew, and former instances have seen tokens as well.
    :param least_token: least value of the token.
    """

    def __init__(
        self,
        clock_ms: int,
        clock: Callable[[], float],
        born_ms: int | None = None,
        least_token: int = 0,
    ) -> None:
        # Whether the token is that of the first response.
        self.has_own_token = False
        self._born_ms = born_ms
        self._least_token = least_token
        self._token_step_ms = FIRST_TOKEN_STEP_MS
        self._token = self._compute_token(clock_ms)
        self._clock = clock
        self._clock_offset_ms = clock_ms - clock() * 1000
        self._last_response_at = clock()
        self._expires_at = self._compute_latest_expiry()

    @property
    def in_contact(self) -> bool:
        """Whether the target has responded within the contact timeout."""
        return self.last_response_age_s < CONTACT_TIMEOUT_S

    @property
    def last_response_age_s(self) -> float:
        """Seconds since the last response of the target."""
        return self._clock() - self._last_response_at

    @property
    def remaining_s(self) -> float:
        """Seconds until all runs must have ended, even if the target never responds."""
        return max(self._expires_at - self._clock(), 0)

    @property
    def without_renewal(self) -> FencedLease:
        """The fencing token alone, which leaves the lease as it is."""
        return FencedLease(self._token)

    def renew(self) -> FencedLease:
        """Return a renewed lease; it counts as renewed even without a response."""
        self._expires_at = max(self._expires_at, self._compute_latest_expiry())
        return FencedLease(
            self._token, int(self._clock() * 1000 + self._clock_offset_ms) + LEASE_MS
        )

    def raise_token(self) -> bool:
        """Raise the token of a session that the target has not accepted yet.

        Returns whether it was raised. The target may have seen one that this process
        does not know, but only instances that send their start are known to be in
        use by a single agent.
        """
        raised = self._token + self._token_step_ms
        if self._born_ms is None or self.has_own_token or raised > TOKEN_LIMIT:
            return False
        self._token_step_ms *= TOKEN_STEP_FACTOR
        self._least_token = raised
        self._token = raised
        return True

    def estimate_wait_s(self, clock_ms: int) -> float:
        """Return the expected seconds until the target's clock shows a time."""
        return (clock_ms - self._clock_offset_ms) / 1000 - self._clock()

    def estimate_age_s(self, clock_ms: int) -> float:
        """Return the expected seconds since the target's clock showed a time."""
        return -self.estimate_wait_s(clock_ms)

    def record_response(self, clock_ms: int | None) -> None:
        """Record a response of the target.

        :param clock_ms: the target's clock, if the response contains it.
        """
        self._last_response_at = self._clock()
        if clock_ms is not None:
            if not self.has_own_token:
                self._token = self._compute_token(clock_ms)
                self.has_own_token = True
            self._clock_offset_ms = clock_ms - self._last_response_at * 1000

    def _compute_token(self, clock_ms: int) -> int:
        return max((self._born_ms or 0) + clock_ms, self._least_token)

    def _compute_latest_expiry(self) -> float:
        return self._clock() + LEASE_MS / 1000 * CLOCK_DRIFT_FACTOR + RESPONSE_MARGIN_S
