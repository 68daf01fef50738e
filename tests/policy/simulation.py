"""Small queueing model of entries and agents, to exercise the policy only.

Agents follow docs/design/credits.md. Messages take a fixed time and are counted.
"""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from endivetally_core.errors import RequestError
from endivetally_policy.admission import AdmissionController
from endivetally_policy.estimates import RunTimeEstimates
from endivetally_policy.quotas import TeamQuotas
from endivetally_policy.scheduling import CreditScheduler
from policy.builders import SERVICE
from policy.builders import identity
from policy.builders import task

LATENCY_S = 0.0005
HEARTBEAT_S = 1.0
TAIL = (1.0, 5.0)
TAIL_SHARE = 0.05


@dataclass
class Report:
    """What one run measured."""

    offered: int = 0
    ratios: list = field(default_factory=list)
    refused: int = 0
    expired: int = 0
    late: int = 0
    wasted: Counter = field(default_factory=Counter)
    finished_at: float = 0

    @property
    def good(self):
        return len(self.ratios) - self.late

    @property
    def goodput(self):
        return self.good / self.finished_at

    def ratio(self, share):
        return sorted(self.ratios)[int(share * (len(self.ratios) - 1))]

    @property
    def wasted_ratio(self):
        return sum(self.wasted.values()) / (2 * max(1, len(self.ratios)))


class FakeAgent:
    """Slots and credits of one target."""

    def __init__(self, slots, entries):
        self.free = slots
        self.running = 0
        self.credits = Counter()
        self.waits = Counter()
        self.entries = entries

    def next_owner(self, last):
        entry, waiting = max(self.waits.items(), key=lambda item: item[1])
        if waiting == 0:
            return last
        self.waits[entry] -= 1
        return entry

    def idle_holders(self, asker):
        return [
            entry
            for entry in range(self.entries)
            if entry != asker and self.credits[entry] and not self.waits[entry]
        ]


class Model:
    """Entries in front of agents, fed by Poisson arrivals."""

    def __init__(self, load, seconds, entries=3, agents=11, slots=8, **options):
        self.random = random.Random(options.get('seed', 1))
        self.deadline_s = options.get('deadline_s', 10.0)
        self.report = Report()
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.seconds = seconds
        self.tasks = {}
        self.entries = [
            CreditScheduler('dc1', RunTimeEstimates(), seed=number)
            for number in range(entries)
        ]
        self.agents = [FakeAgent(slots, entries) for _ in range(agents)]
        self.rate = load * agents * slots / mean_run_s()
        self.admissions = [None] * entries
        if options.get('text') is not None:
            self.admissions = [
                self.admission(each, entries, options['text']) for each in self.entries
            ]
        for number, agent in enumerate(self.agents):
            self.share_out(number, agent, slots)

    def admission(self, scheduler, entries, text):
        admission = AdmissionController(scheduler, scheduler.estimates, TeamQuotas())
        admission.set_entry_count(entries)
        admission.apply_config(text, 0)
        return admission

    def share_out(self, number, agent, slots):
        for index, scheduler in enumerate(self.entries):
            scheduler.add_agent(identity(number, slots=slots), 0)
            share = slots // len(self.entries)
            share += int(
                (index + number) % len(self.entries) < slots % len(self.entries)
            )
            scheduler.add_credits(f'agent-{number}.0', share, 0)
            agent.credits[index] = share
            agent.free -= share

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def send(self, action, *arguments):
        self.at(self.now + LATENCY_S, action, *arguments)

    def run(self):
        self.at(0, self.arrive)
        self.at(0, self.heartbeat)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.report.finished_at = max(self.seconds, self.report.finished_at)
        return self.report

    def arrive(self):
        if self.now > self.seconds:
            return
        self.at(self.now + self.random.expovariate(self.rate), self.arrive)
        entry = self.random.randrange(len(self.entries))
        number = self.report.offered
        self.report.offered += 1
        deadline = self.now + self.deadline_s
        if not self.admits(entry, deadline):
            self.report.refused += 1
            return
        pending = task(number, number, deadline=deadline, enqueued_at=self.now)
        self.tasks[number] = run_s(self.random)
        self.entries[entry].submit(pending, self.now)
        self.turn(entry)

    def admits(self, entry, deadline):
        if self.admissions[entry] is None:
            return True
        try:
            self.admissions[entry].admit('a', SERVICE, 1, deadline, self.now)
        except RequestError:
            return False
        return True

    def heartbeat(self):
        for number, agent in enumerate(self.agents):
            for scheduler in self.entries:
                name = f'agent-{number}.0'
                scheduler.update_agent(name, 'open', agent.running, self.now)
        if self.now < self.seconds:
            self.at(self.now + HEARTBEAT_S, self.heartbeat)

    def turn(self, entry):
        scheduler = self.entries[entry]
        self.report.expired += len(scheduler.pop_expired(self.now))
        for binding in scheduler.bind_tasks(self.now):
            waiting = scheduler.count_waiting(SERVICE)
            self.send(
                self.dispatched, entry, number_of(binding.agent), binding.task, waiting
            )
        for demand in scheduler.collect_demands(self.now):
            self.report.wasted['demand'] += 1
            self.send(self.demanded, entry, number_of(demand.agent), demand.waiting)
        wakeup = scheduler.next_wakeup_at(self.now)
        if wakeup is not None:
            self.at(max(wakeup, self.now + 0.001), self.wake, entry, wakeup)

    def wake(self, entry, due_at):
        if self.entries[entry].next_wakeup_at(self.now) == due_at:
            self.turn(entry)

    def dispatched(self, entry, number, pending, waiting):
        agent = self.agents[number]
        agent.credits[entry] -= 1
        agent.waits[entry] = waiting
        agent.running += 1
        duration = self.tasks[pending.name.number]
        self.at(self.now + duration, self.ended, entry, number, pending, duration)

    def ended(self, entry, number, pending, duration):
        agent = self.agents[number]
        agent.running -= 1
        owner = agent.next_owner(entry)
        agent.credits[owner] += 1
        if owner != entry:
            self.report.wasted['grant'] += 1
            self.send(self.granted, owner, number, 1)
        rides = int(owner == entry)
        self.send(self.answered, entry, number, pending, duration, rides)

    def answered(self, entry, number, pending, duration, credits):
        scheduler = self.entries[entry]
        elapsed = self.now - pending.enqueued_at
        self.report.ratios.append(elapsed / (duration + 2 * LATENCY_S))
        self.report.late += int(self.now > pending.deadline)
        self.report.finished_at = self.now
        agent = f'agent-{number}.0'
        scheduler.record_outcome(agent, SERVICE, 'done', duration * 1000, self.now)
        self.granted(entry, number, credits)

    def granted(self, entry, number, credits):
        self.entries[entry].add_credits(f'agent-{number}.0', credits, self.now)
        self.turn(entry)

    def demanded(self, entry, number, waiting):
        agent = self.agents[number]
        agent.waits[entry] = waiting
        for holder in agent.idle_holders(entry):
            self.report.wasted['revoke'] += 1
            self.send(self.revoked, holder, number, waiting)

    def revoked(self, entry, number, count):
        given_back = self.entries[entry].revoke_credits(f'agent-{number}.0', count)
        self.report.wasted['credit return'] += 1
        self.send(self.returned, entry, number, given_back)

    def returned(self, entry, number, count):
        agent = self.agents[number]
        agent.credits[entry] -= count
        owners = Counter(agent.next_owner(entry) for _ in range(count))
        agent.credits.update(owners)
        for owner, granted in owners.items():
            self.report.wasted['grant'] += 1
            self.send(self.granted, owner, number, granted)


def number_of(incarnation):
    return int(incarnation.removeprefix('agent-').removesuffix('.0'))


def run_s(source):
    if source.random() < TAIL_SHARE:
        return source.uniform(*TAIL)
    return source.uniform(0.05, 1.0)


def mean_run_s():
    return (1 - TAIL_SHARE) * 0.525 + TAIL_SHARE * sum(TAIL) / 2
