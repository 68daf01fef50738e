"""Whether instances of a target are still there, as told by an answer to a poll."""

import asyncio
import enum
from collections.abc import Callable
from typing import Final

from endivetally_held.expected_reports import expect_report
from endivetally_held.first_polls import poll_for_next
from endivetally_held.poll_waits import POLL_RESPONSE_S
from endivetally_held.poll_waits import POLL_RETRY_S
from endivetally_held.target_client import FencedLease
from endivetally_held.target_client import Instance
from endivetally_held.target_client import PollFailed
from endivetally_held.target_client import TargetClient
from endivetally_held.target_client import TargetClientFactory
from endivetally_held.target_client import TargetReport
from endivetally_held.target_client import TargetSessionLost
from endivetally_held.unconfirmed_runs import LONGEST_COMMAND_S

# Lower than any token of a session, so that the poll fences no command.
NO_TOKEN: Final = FencedLease(0)


class InstanceState(enum.Enum):
    """What is known of an instance of a target."""

    PRESENT = enum.auto()
    ENDED = enum.auto()
    UNKNOWN = enum.auto()


class InstanceChecks:
    """Polls instances without a session, once each, without an effect on their runs."""

    def __init__(self, client_factory: TargetClientFactory) -> None:
        self._client_factory = client_factory
        # The checks under way.
        self._checks: dict[Instance, asyncio.Task[None]] = {}

    def start(
        self, report: TargetReport, handle_result: Callable[[InstanceState], None]
    ) -> None:
        """Check the instance that sent a report, unless a check of it is under way."""
        instance = report.instance
        if instance in self._checks:
            return
        client = self._client_factory.create_client(report)
        check = asyncio.create_task(_check(client, instance, handle_result))
        self._checks[instance] = check
        check.add_done_callback(lambda _: self._checks.pop(instance, None))

    def await_next(
        self,
        report: TargetReport,
        lease: FencedLease,
        is_needed: Callable[[], bool],
        handle_next: Callable[[TargetReport], None],
    ) -> None:
        """Poll an instance that has announced its end until the next one answers.

        The next instance accepts late commands to the former one until it has seen the
        token of these polls.

        :param lease: holds the token of the next session, without a renewal.
        :param is_needed: returns whether to go on.
        :param handle_next: called with a report that stands for the first one of the
            next instance.
        """
        instance = report.instance
        if instance in self._checks:
            return
        client = self._client_factory.create_client(report)
        wait = asyncio.create_task(
            _await_next(client, report, lease, is_needed, handle_next)
        )
        self._checks[instance] = wait
        wait.add_done_callback(lambda _: self._checks.pop(instance, None))

    def cancel(self) -> None:
        """Cancel the checks under way."""
        for check in self._checks.values():
            check.cancel()


async def _check(
    client: TargetClient,
    instance: Instance,
    handle_result: Callable[[InstanceState], None],
) -> None:
    try:
        handle_result(await _find_state(client, instance))
    finally:
        await client.close()


async def _await_next(
    client: TargetClient,
    report: TargetReport,
    lease: FencedLease,
    is_needed: Callable[[], bool],
    handle_next: Callable[[TargetReport], None],
) -> None:
    try:
        async with asyncio.timeout(LONGEST_COMMAND_S):
            while is_needed():
                born_ms = await poll_for_next(client, lease)
                if born_ms is not None and is_needed():
                    handle_next(expect_report(report, born_ms))
                    return
                await asyncio.sleep(POLL_RETRY_S)
    except TimeoutError:
        # No late command is left that the next instance could accept.
        return
    finally:
        await client.close()


async def _find_state(client: TargetClient, instance: Instance) -> InstanceState:
    try:
        await client.poll(NO_TOKEN, 0, 0, POLL_RESPONSE_S)
    except PollFailed:
        return InstanceState.UNKNOWN
    except TargetSessionLost as error:
        if error.target_ended:
            return InstanceState.ENDED
        # An instance that has seen a higher token refuses the poll, so it is there;
        # without its start the refusal may be that of another one.
        if error.born_ms == instance.born_ms:
            return InstanceState.PRESENT
        return InstanceState.UNKNOWN
    return InstanceState.PRESENT
