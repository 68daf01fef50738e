"""Compares rules for ordering and giving up queued jobs under overload."""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest
from endivetally_policy.held import WaitingJob
from endivetally_policy.held import queue_key
from endivetally_policy.held import should_give_up

CORES = 160
TASK_CORES = 1.6
# Kinds of jobs in the users' workload: tasks per job, seconds per task, jobs a second
# at the usual load.
KINDS = ((8, 0.12, 17.2), (4, 1.8, 3.12), (2, 0.4, 50.0))
STRETCH = 1.6
RESPONSE_S = 0.06


@dataclass(eq=False)
class Job:
    arrived_at: float
    run_s: float
    queued_tasks: int
    running: int = 0
    has_started: bool = False
    ended_at: float | None = None

    @property
    def objective_s(self):
        return STRETCH * self.run_s + RESPONSE_S

    @property
    def waiting_job(self):
        start_by = self.arrived_at + self.objective_s - self.run_s
        return WaitingJob(self.has_started, start_by)

    def start_tasks(self, slots):
        count = min(self.queued_tasks, slots)
        self.queued_tasks -= count
        self.running += count
        self.has_started = self.has_started or count > 0
        return count

    def end_task(self, now):
        self.running -= 1
        if not self.queued_tasks and not self.running:
            self.ended_at = now

    @property
    def in_time(self):
        ended = self.ended_at is not None
        return ended and self.ended_at - self.arrived_at <= self.objective_s


def generate_jobs(rng, seconds, load):
    jobs = []
    for task_count, run_s, rate in KINDS:
        now = 0
        while now < seconds:
            now += rng.expovariate(rate * load)
            jobs.append(Job(now, run_s * rng.lognormvariate(0, 0.4), task_count))
    return sorted(jobs, key=lambda job: job.arrived_at)


def simulate(jobs, order, is_given_up, starts_at):
    """Return the share of jobs that are in time.

    :param order: sort key of the queue.
    :param is_given_up: returns whether to drop a queued job.
    :param starts_at: time before which no task starts.
    """
    slots = int(CORES / TASK_CORES)
    events = [(job.arrived_at, number, job, True) for number, job in enumerate(jobs)]
    numbers = itertools.count(len(jobs))
    waiting = []
    while events:
        now, _, job, arrives = heapq.heappop(events)
        if arrives:
            waiting.append(job)
        else:
            slots += 1
            job.end_task(now)
        waiting = [
            job for job in waiting if job.queued_tasks and not is_given_up(job, now)
        ]
        if now >= starts_at:
            waiting.sort(key=lambda each: order(each, now))
        for job in waiting if now >= starts_at else ():
            count = job.start_tasks(slots)
            slots -= count
            for _ in range(count):
                event = (now + job.run_s, next(numbers), job, False)
                heapq.heappush(events, event)
    return sum(job.in_time for job in jobs) / len(jobs)


# The former rules did not put late jobs last, and gave up a job that had not started
# only when it would have missed three times its objective.
def former_order(job, now):
    return (not job.has_started, job.waiting_job.latest_start_at)


def former_given_up(job, now):
    late_at = job.arrived_at + 3 * job.objective_s - job.run_s
    return not job.has_started and now >= late_at


def compute_upper_bound(jobs, starts_at):
    """Return a share of jobs in time that no order can exceed.

    It counts the smallest jobs that fit into all core-seconds until the last
    objective, as if all run times were known in advance.
    """
    ends_at = max(job.arrived_at + job.objective_s for job in jobs)
    core_s = CORES * (ends_at - starts_at)
    job_core_s = sorted(job.run_s * job.queued_tasks * TASK_CORES for job in jobs)
    fitting = sum(total <= core_s for total in itertools.accumulate(job_core_s))
    return fitting / len(jobs)


RULES = {
    'naive': (lambda job, now: job.arrived_at, lambda job, now: False),
    'former': (former_order, former_given_up),
    'current': (
        lambda job, now: queue_key(job.waiting_job, now),
        lambda job, now: should_give_up(job.waiting_job, now),
    ),
}


@pytest.mark.parametrize(
    ('load', 'starts_at'),
    [
        # All workers return after a power failure, at twice the usual load.
        (2.0, 0.6),
        # Load spikes of three and of six times the usual load.
        (3.0, 0),
        (6.0, 0),
    ],
)
def test_more_jobs_are_in_time_than_with_other_rules(load, starts_at):
    served = {
        name: simulate(generate_jobs(random.Random(1), 8, load), *rule, starts_at)
        for name, rule in RULES.items()
    }
    bound = compute_upper_bound(generate_jobs(random.Random(1), 8, load), starts_at)
    assert bound > served['current'] > max(served['former'], served['naive'])


def test_all_jobs_are_in_time_at_the_usual_load():
    jobs = generate_jobs(random.Random(1), 8, 1.0)
    assert simulate(jobs, *RULES['current'], 0) == 1
