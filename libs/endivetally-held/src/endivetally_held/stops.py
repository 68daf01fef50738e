"""Stop commands of a session, repeated until the target accepts them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import Final

from endivetally_core.events import Event
from endivetally_core.events import EventLog

from endivetally_held.lease import LeaseTracker
from endivetally_held.runs import EndEvidence
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.runs import describe_command
from endivetally_held.target_client import ActiveRun
from endivetally_held.target_client import CommandResponse
from endivetally_held.target_client import CommandResult
from endivetally_held.target_client import TargetClient

# A target responds within a few milliseconds or not at all, so the next stop is sent
# before the former one has timed out.
STOP_RETRY_S: Final = 0.1
# Bounds the connections that unanswered stops of one run use.
MAX_OPEN_STOPS: Final = 3


class StopSender:
    """Sends the stops of runs at one instance of a target.

    :param lose_session: called when the target rejects the session, with
        ``target_ended``.
    """

    def __init__(
        self,
        target: TargetClient,
        lease: LeaseTracker,
        events: EventLog,
        clock: Callable[[], float],
        lose_session: Callable[..., Awaitable[None]],
    ) -> None:
        self._target = target
        self._lease = lease
        self._events = events
        self._clock = clock
        self._lose_session = lose_session

    async def stop(self, run: Run) -> None:
        """Repeat the stop of a run until the target accepts it or the run has ended."""
        first_sent_at = self._clock()
        attempt = 0
        open_stops: set[asyncio.Task[CommandResponse]] = set()
        async with AsyncExitStack() as stack:
            stack.callback(_cancel_all, open_stops)
            while run.state is not RunState.ENDED:
                if len(open_stops) < MAX_OPEN_STOPS:
                    attempt += 1
                    open_stops.add(asyncio.create_task(self._send(run, attempt)))
                answered, _ = await asyncio.wait(
                    open_stops,
                    timeout=STOP_RETRY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                open_stops -= answered
                if await self._handle_responses(answered, run, attempt, first_sent_at):
                    return

    async def stop_stray(self, active: ActiveRun) -> None:
        """Send one stop of a run that the target lists and no entry waits for."""
        self._events.emit(
            Event.RUN_STOPPED,
            task=str(active.task),
            run=active.run_number,
            reason='stray',
        )
        await self._target.stop_run(
            active.task, active.run_number, self._lease.without_renewal
        )

    async def _send(self, run: Run, attempt: int) -> CommandResponse:
        sent_at = self._clock()
        response = await self._target.stop_run(
            run.task, run.run_number, self._lease.without_renewal
        )
        if response.result not in _FINAL_RESULTS and run.state is not RunState.ENDED:
            self._events.emit(
                Event.COMMAND_UNANSWERED,
                order='stop',
                attempt=attempt,
                **describe_command(run, self._clock() - sent_at),
            )
            # Stops that are rejected at once are repeated at the same interval.
            rest_s = sent_at + MAX_OPEN_STOPS * STOP_RETRY_S - self._clock()
            await asyncio.sleep(max(rest_s, STOP_RETRY_S))
        return response

    async def _handle_responses(
        self,
        answered: set[asyncio.Task[CommandResponse]],
        run: Run,
        attempt: int,
        first_sent_at: float,
    ) -> bool:
        """Handle responses; return whether no further stop is needed."""
        for task in answered:
            response = task.result()
            if response.result is CommandResult.ACCEPTED:
                self._lease.record_response(response.clock_ms)
                now = self._clock()
                run.settle(now, EndEvidence.ABSENT_AFTER_STOP)
                self._events.emit(
                    Event.STOP_ACCEPTED,
                    attempt=attempt,
                    **describe_command(run, now - first_sent_at),
                )
                return True
            if response.result in _FINAL_RESULTS:
                await self._lose_session(
                    target_ended=response.result is CommandResult.WRONG_INSTANCE
                )
                return True
        return False


_FINAL_RESULTS: Final = frozenset(
    (CommandResult.ACCEPTED, CommandResult.FENCED, CommandResult.WRONG_INSTANCE)
)


def _cancel_all(tasks: set[asyncio.Task[CommandResponse]]) -> None:
    for task in tasks:
        task.cancel()
