"""How long a poll waits at the target for the end of a run."""

from collections.abc import Iterable
from typing import Final

from endivetally_held.lease import LeaseTracker
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.runs import may_never_have_started

# Longest wait of a long poll. Three polls fit into one lease, which each of them
# renews. Without runs there is no lease to renew; the start of the next run renews it.
POLL_WAIT_S: Final = 0.2
IDLE_POLL_WAIT_S: Final = 0.4
# Time for the response beyond the wait; a response takes a few milliseconds.
POLL_RESPONSE_S: Final = 0.25
POLL_RETRY_S: Final = 0.05
# A poll that waits for the deadline of a start returns this much later.
START_EXPIRY_MARGIN_S: Final = 0.005


def choose_poll_wait(runs: Iterable[Run], lease: LeaseTracker) -> float:
    """Return how long the target may wait for the end of a run, in seconds.

    The poll returns at once if it can show that a run never started, and otherwise by
    the time at which the next poll may show this.

    :param runs: the runs that hold capacity of the target.
    """
    wait_s = IDLE_POLL_WAIT_S
    for run in runs:
        if may_never_have_started(run):
            return 0
        wait_s = min(wait_s, POLL_WAIT_S)
        if run.state is RunState.STOPPING and not run.settled_at:
            expires_in_s = lease.estimate_wait_s(run.start_expires_at_ms)
            wait_s = min(wait_s, max(expires_in_s, 0) + START_EXPIRY_MARGIN_S)
    return wait_s
