"""Polls of a session before it may start runs, and after it may start none."""

import asyncio

from endivetally_held.lease import LeaseTracker
from endivetally_held.poll_waits import POLL_RESPONSE_S
from endivetally_held.poll_waits import POLL_RETRY_S
from endivetally_held.target_client import FencedLease
from endivetally_held.target_client import PollFailed
from endivetally_held.target_client import PollResult
from endivetally_held.target_client import TargetClient
from endivetally_held.target_client import TargetSessionLost


async def poll_without_renewal(
    target: TargetClient, lease: LeaseTracker, last_seen: int
) -> PollResult:
    """Poll without a wait, and raise a token that is too low.

    A new instance may have seen a higher token, in a late command to the former one.

    :raises PollFailed: when there is no usable response in time.
    :raises TargetSessionLost: when the target rejects this session for good.
    """
    while True:
        try:
            return await target.poll(
                lease.without_renewal, last_seen, 0, POLL_RESPONSE_S
            )
        except TargetSessionLost as error:
            if error.target_ended or not lease.raise_token():
                raise
        await asyncio.sleep(POLL_RETRY_S)


async def find_next_instance(target: TargetClient, lease: LeaseTracker) -> int | None:
    """Wait until the lease is over, or another instance has answered a poll.

    Return the start of that instance, which proves that the former one has ended.
    Without polls it could carry out late commands for as long as the lease.
    """
    while lease.remaining_s:
        born_ms = await poll_for_next(target, lease.without_renewal)
        if born_ms is not None:
            return born_ms
        await asyncio.sleep(min(POLL_RETRY_S, lease.remaining_s))
    return None


async def poll_for_next(target: TargetClient, lease: FencedLease) -> int | None:
    """Poll once, and return the start of the instance that answers if it is another.

    :param lease: holds a token, without a renewal.
    """
    try:
        await target.poll(lease, 0, 0, POLL_RESPONSE_S)
    except PollFailed:
        return None
    except TargetSessionLost as error:
        return error.born_ms if error.target_ended else None
    return None
