"""Stops of a run that the target does not accept."""

import asyncio

import pytest
from differential.clock import run_virtually
from endivetally_core.events import EventLog
from endivetally_held.jobs import TaskKey
from endivetally_held.lease import LeaseTracker
from endivetally_held.runs import Run
from endivetally_held.runs import RunState
from endivetally_held.stops import STOP_RETRY_S
from endivetally_held.stops import StopSender
from endivetally_held.target_client import CommandResponse
from endivetally_held.target_client import CommandResult
from endivetally_policy.held import Resources


class RejectingTarget:
    """Responds to each stop with the same result."""

    def __init__(self, result, response_s):
        self.result = result
        self.response_s = response_s
        self.sent = 0

    async def stop_run(self, task, run_number, lease):
        self.sent += 1
        await asyncio.sleep(self.response_s)
        return CommandResponse(self.result)


async def count_stops(target, duration_s):
    loop = asyncio.get_running_loop()
    run = Run(TaskKey('a', 0, 0), 1, 'entry', '', Resources(1, 1), 1, 1, 2)
    run.state = RunState.STOPPING
    events = EventLog('test', 'test', write=lambda lines: None)
    sender = StopSender(
        target, LeaseTracker(0, loop.time), events, loop.time, lose_session=None
    )
    stopping = asyncio.ensure_future(sender.stop(run))
    await asyncio.sleep(duration_s)
    sent = target.sent
    run.state = RunState.ENDED
    await stopping
    await asyncio.sleep(0.01)
    assert asyncio.all_tasks() == {asyncio.current_task()}
    return sent


@pytest.mark.parametrize(
    ('result', 'response_s', 'least_sent'),
    [(CommandResult.UNHEALTHY, 0.001, 9), (CommandResult.UNANSWERED, 0.3, 7)],
)
def test_rejected_stops_are_repeated_no_faster_than_the_retry_interval(
    result, response_s, least_sent
):
    sent = run_virtually(count_stops(RejectingTarget(result, response_s), 1.0))
    assert least_sent <= sent <= 1 / STOP_RETRY_S + 1
