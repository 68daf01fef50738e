"""Plays crowds against the order of the queue and the giving up of jobs."""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest
from endivetally_policy.held import WaitingJob
from endivetally_policy.held import queue_key
from endivetally_policy.held import should_abandon

CORES = 160
TASK_CORES = 1.6
# Kinds of request of the users' sheets: tasks, seconds each, a second on a calm day.
KINDS = ((8, 0.12, 17.2), (4, 1.8, 3.12), (2, 0.4, 50.0))
STRETCH = 1.6
ANSWER_S = 0.06


@dataclass(eq=False)
class Job:
    arrived_at: float
    run_s: float
    left: int
    running: int = 0
    begun: bool = False
    ended_at: float | None = None

    @property
    def objective_s(self):
        return STRETCH * self.run_s + ANSWER_S

    @property
    def in_queue(self):
        start_by = self.arrived_at + self.objective_s - self.run_s
        return WaitingJob(self.begun, start_by)

    def start_tasks(self, slots):
        count = min(self.left, slots)
        self.left -= count
        self.running += count
        self.begun = self.begun or count > 0
        return count

    def end_task(self, now):
        self.running -= 1
        if not self.left and not self.running:
            self.ended_at = now

    @property
    def in_time(self):
        ended = self.ended_at is not None
        return ended and self.ended_at - self.arrived_at <= self.objective_s


def jobs_of(rng, seconds, load):
    jobs = []
    for width, run_s, rate in KINDS:
        now = 0
        while now < seconds:
            now += rng.expovariate(rate * load)
            jobs.append(Job(now, run_s * rng.lognormvariate(0, 0.4), width))
    return sorted(jobs, key=lambda job: job.arrived_at)


def play(jobs, order, hopeless, opens_at):
    """Serve jobs on shared cores; ``order`` and ``hopeless`` decide."""
    slots = int(CORES / TASK_CORES)
    moments = [(job.arrived_at, number, job, True) for number, job in enumerate(jobs)]
    numbers = itertools.count(len(jobs))
    waiting = []
    while moments:
        now, _, job, arrives = heapq.heappop(moments)
        if arrives:
            waiting.append(job)
        else:
            slots += 1
            job.end_task(now)
        waiting = [job for job in waiting if job.left and not hopeless(job, now)]
        if now >= opens_at:
            waiting.sort(key=lambda each: order(each, now))
        for job in waiting if now >= opens_at else ():
            count = job.start_tasks(slots)
            slots -= count
            for _ in range(count):
                moment = (now + job.run_s, next(numbers), job, False)
                heapq.heappush(moments, moment)
    return sum(job.in_time for job in jobs) / len(jobs)


def former_order(job, now):
    return (not job.begun, job.in_queue.latest_start_at)


def former_hopeless(job, now):
    late_at = job.arrived_at + 3 * job.objective_s - job.run_s
    return not job.begun and now >= late_at


def ceiling(jobs, opens_at):
    """Return a share that not even knowing all run times can exceed.

    The smallest jobs that fit into all core-seconds until the last objective.
    """
    ends_at = max(job.arrived_at + job.objective_s for job in jobs)
    room = CORES * (ends_at - opens_at)
    works = sorted(job.run_s * job.left * TASK_CORES for job in jobs)
    fitting = sum(total <= room for total in itertools.accumulate(works))
    return fitting / len(jobs)


RULES = {
    'naive': (lambda job, now: job.arrived_at, lambda job, now: False),
    'former': (former_order, former_hopeless),
    'now': (
        lambda job, now: queue_key(job.in_queue, now),
        lambda job, now: should_abandon(job.in_queue, now),
    ),
}


@pytest.mark.parametrize(
    ('load', 'opens_at'),
    [
        # All machines come back after a loss of power, at twice the usual load.
        (2.0, 0.6),
        # A crowd of three and of six times the usual load.
        (3.0, 0),
        (6.0, 0),
    ],
)
def test_more_callers_are_served_in_time(load, opens_at):
    served = {
        name: play(jobs_of(random.Random(1), 8, load), *rule, opens_at)
        for name, rule in RULES.items()
    }
    best = ceiling(jobs_of(random.Random(1), 8, load), opens_at)
    assert best > served['now'] > max(served['former'], served['naive'])


def test_calm_days_are_served_whole():
    jobs = jobs_of(random.Random(1), 8, 1.0)
    assert play(jobs, *RULES['now'], 0) == 1
