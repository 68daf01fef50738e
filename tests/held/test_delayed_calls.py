"""Random delays of each request and each response between a session and its target.

Starts, stops and polls overtake each other, responses are lost, and the agent's process
is paused. A run whose end was reported must never be at the target again, and a run
that its entry asked to stop must be gone in time.
"""

import asyncio
import contextvars
import random

import pytest
from differential.clock import Suspension
from differential.clock import node_context
from differential.clock import run_virtually
from endivetally_core.events import EventLog
from endivetally_held.jobs import TaskKey
from endivetally_held.runs import Run
from endivetally_held.session import LONGEST_STOP_S
from endivetally_held.session import SessionListener
from endivetally_held.session import TargetSession
from endivetally_held.target_client import CommandResponse
from endivetally_held.target_client import CommandResult
from endivetally_held.target_client import PollFailed
from endivetally_held.target_client import TargetClient
from endivetally_policy.held import Resources
from endivetally_standins.held_target import HeldTargetStandIn
from endivetally_standins.held_target import RunHistory

NEED = Resources(1000, 1)
CAPACITY = Resources(8000, 100)
COMMAND_TIMEOUT_S = 0.3
LONGEST_DELAY_S = 2
REPORT_INTERVAL_S = 1.5
STEP_S = 0.02
DURATION_S = 20


class DelayedClient(TargetClient):
    """Delays each request and each response by itself; both may exceed the time-out.

    :param share: share of the requests, and of the responses, that are delayed.
    :param stop_share: the same for stops.
    """

    def __init__(self, target, rng, share, stop_share):
        self.target = target
        self.rng = rng
        self.share = share
        self.stop_share = stop_share
        self.loop = asyncio.get_running_loop()

    def choose_delay_s(self, share):
        if self.rng.random() >= share:
            return 0
        return self.rng.uniform(0, self.rng.choice((0.4, 1, LONGEST_DELAY_S)))

    async def call(self, make_call, timeout_s, share):
        request_s, response_s = self.choose_delay_s(share), self.choose_delay_s(share)

        async def carry_out():
            await asyncio.sleep(request_s)
            response = await make_call()
            await asyncio.sleep(response_s)
            return response

        # The target and the network go on while the agent is paused.
        work = self.loop.create_task(carry_out(), context=contextvars.Context())
        done, _ = await asyncio.wait([work], timeout=timeout_s)
        return work.result() if done else None

    async def start_run(self, *arguments):
        response = await self.call(
            lambda: self.target.start_run(*arguments), COMMAND_TIMEOUT_S, self.share
        )
        return response or CommandResponse(CommandResult.UNANSWERED)

    async def stop_run(self, *arguments):
        response = await self.call(
            lambda: self.target.stop_run(*arguments), COMMAND_TIMEOUT_S, self.stop_share
        )
        return response or CommandResponse(CommandResult.UNANSWERED)

    async def poll(self, lease, last_seen, wait_s, timeout_s):
        response = await self.call(
            lambda: self.target.poll(lease, last_seen, wait_s, timeout_s),
            timeout_s,
            self.share,
        )
        if response is None:
            raise PollFailed('delayed')
        return response

    async def close(self):
        """Do nothing, as there are no connections."""


class Listener(SessionListener):
    """Records the ends that the session reports, and faults among them."""

    def __init__(self, target, history):
        self.target = target
        self.history = history
        self.ended = {}
        self.faults = []

    def run_ended(self, run, end, run_s):
        key = (run.task, run.run_number)
        self.ended[key] = (asyncio.get_running_loop().time(), run.evidence)
        self.target.end_expired_runs()
        for record in self.history.get_runs(run.task):
            if record.run_number == run.run_number and record.ended_at is None:
                self.faults.append(f'active at its end: {run} {end}')

    def capacity_changed(self):
        """Start nothing by itself."""

    def session_lost(self, *, target_ended):
        self.faults.append('session lost')


class Play:
    """A session under random delays.

    :param may_pause: whether the agent's process is paused at times.
    """

    def __init__(self, seed, shares, clock_rate, may_pause):
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        self.may_pause = may_pause
        self.suspension = Suspension()
        run_rng = random.Random(seed + 1)
        self.run_times_s = {}
        self.history = RunHistory(
            lambda task: self.run_times_s.setdefault(task, run_rng.uniform(0.1, 1.5)),
            lambda task: NEED,
        )
        self.target = HeldTargetStandIn(
            'i-1', CAPACITY, self.history, clock_rate=clock_rate
        )
        self.listener = Listener(self.target, self.history)
        client = DelayedClient(self.target, self.rng, *shares)
        events = EventLog('test', 'test', write=lambda lines: None)
        self.session = TargetSession(
            client,
            self.target.create_next_report(),
            self.listener,
            events,
            self.loop.time,
        )
        self.runs = []
        # Entries and the times by which their runs must have ended.
        self.stopped = {}

    def in_agent(self, action, *arguments):
        self.loop.call_soon(action, *arguments, context=node_context(self.suspension))

    def start(self, number):
        """Start another run of a task that has none here, or a new task."""
        task = TaskKey('job', 0, self.rng.randrange(12))
        if self.session.has_run(task):
            return
        entry = f'entry-{number // 10}'
        if entry in self.stopped:
            return
        now = self.loop.time()
        run = Run(task, number, entry, '', NEED, 0.8, now, now + 1)
        if self.session.start_run(run):
            self.runs.append(run)

    def stop(self, entry):
        self.stopped[entry] = self.loop.time() + LONGEST_STOP_S
        self.session.stop_runs_of(entry)

    def check_stopped(self):
        self.target.end_expired_runs()
        for run in self.runs:
            if self.loop.time() <= self.stopped.get(run.entry, self.loop.time()):
                continue
            for record in self.history.get_runs(run.task):
                if record.run_number == run.run_number and record.ended_at is None:
                    self.listener.faults.append(f'not stopped in time: {run}')

    async def play(self):
        self.in_agent(self.session.start_polling)
        end_at = self.loop.time() + DURATION_S
        number = 0
        report_at = self.loop.time()
        while self.loop.time() < end_at:
            await asyncio.sleep(STEP_S)
            self.check_stopped()
            if self.loop.time() >= report_at:
                report_at += REPORT_INTERVAL_S
                report = self.target.create_next_report()
                self.in_agent(self.session.apply_report, report)
            if self.rng.random() < 0.5:
                number += 1
                self.in_agent(self.start, number)
            if self.rng.random() < 0.03:
                self.in_agent(self.stop, f'entry-{number // 10}')
            if self.may_pause and self.rng.random() < 0.01:
                self.loop.stop_node(self.suspension)
                await asyncio.sleep(self.rng.choice((0.2, 0.5, 1, 3)))
                self.loop.resume_node(self.suspension)
        await asyncio.sleep(2 * LONGEST_DELAY_S)

    def find_faults(self):
        """Return the faults, with the runs that started after their reported end."""
        ended = self.listener.ended
        returned = [
            f'{record} after {ended[record.task, record.run_number]}'
            for record in self.history.runs
            if record.started_at >= ended[record.task, record.run_number][0]
        ]
        return self.listener.faults + self.history.violations + returned


async def play(seed, shares, clock_rate, may_pause):
    player = Play(seed, shares, clock_rate, may_pause)
    await player.play()
    return player


@pytest.mark.parametrize('may_pause', [False, True])
@pytest.mark.parametrize('clock_rate', [1, 0.98])
@pytest.mark.parametrize('shares', [(0.1, 0.1), (0.4, 0.4), (0.1, 1)])
@pytest.mark.parametrize('seed', range(5))
def test_run_whose_end_was_reported_is_gone_whatever_is_delayed(
    seed, shares, clock_rate, may_pause
):
    player = run_virtually(play(seed, shares, clock_rate, may_pause))
    assert player.find_faults() == []
    assert len(player.runs) > 20
