"""Discrete-event simulation of entries and agents, to test the policy alone.

An agent grants the credit of a freed slot to the entry with the most queued tasks. On
a demand it revokes the unused credits of entries without queued tasks. The rules are
described in docs/design/credits.md. Messages take a fixed time and are counted.
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
LONG_RUN_S = (1.0, 5.0)
LONG_RUN_SHARE = 0.05


@dataclass
class Report:
    """Measurements of one simulation.

    :param ratios: response time of each task, relative to its response time
        on idle agents.
    :param late: tasks that ended after their deadline.
    :param control_messages: number of messages about credits, by type.
    """

    offered: int = 0
    ratios: list = field(default_factory=list)
    refused: int = 0
    expired: int = 0
    late: int = 0
    control_messages: Counter = field(default_factory=Counter)
    finished_at: float = 0

    @property
    def on_time(self):
        return len(self.ratios) - self.late

    @property
    def goodput(self):
        return self.on_time / self.finished_at

    def ratio_quantile(self, share):
        return sorted(self.ratios)[int(share * (len(self.ratios) - 1))]

    @property
    def control_message_ratio(self):
        return sum(self.control_messages.values()) / (2 * max(1, len(self.ratios)))


class FakeAgent:
    """Slots and credits of one target.

    :ivar credits: unused credits by entry.
    :ivar waiting_tasks: queued tasks by entry, as last reported.
    """

    def __init__(self, slots, entries):
        self.free = slots
        self.running = 0
        self.credits = Counter()
        self.waiting_tasks = Counter()
        self.entries = entries

    def next_holder(self, last):
        entry, waiting = max(self.waiting_tasks.items(), key=lambda item: item[1])
        if waiting == 0:
            return last
        self.waiting_tasks[entry] -= 1
        return entry

    def idle_holders(self, asker):
        return [
            entry
            for entry in range(self.entries)
            if entry != asker and self.credits[entry] and not self.waiting_tasks[entry]
        ]


class Simulation:
    """Entries and agents that serve tasks with Poisson arrivals.

    :param load: offered load, as a share of the slots of all agents.
    :param seconds: simulated time during which tasks arrive.
    """

    def __init__(self, load, seconds, entries=3, agents=11, slots=8, **options):
        self.random = random.Random(options.get('seed', 1))
        self.deadline_s = options.get('deadline_s', 10.0)
        self.report = Report()
        self.events = []
        self.event_numbers = itertools.count()
        self.now = 0.0
        self.seconds = seconds
        self.tasks = {}
        self.entries = [
            CreditScheduler('dc1', RunTimeEstimates(), seed=number)
            for number in range(entries)
        ]
        self.agents = [FakeAgent(slots, entries) for _ in range(agents)]
        self.rate = load * agents * slots / mean_run_s()
        self.controllers = [None] * entries
        if options.get('config') is not None:
            self.controllers = [
                self.make_controller(entry_scheduler, entries, options['config'])
                for entry_scheduler in self.entries
            ]
        for number, agent in enumerate(self.agents):
            self.grant_initial_credits(number, agent, slots)

    def make_controller(self, scheduler, entries, config):
        controller = AdmissionController(scheduler, scheduler.estimates, TeamQuotas())
        controller.set_entry_count(entries)
        controller.apply_config(config, 0)
        return controller

    def grant_initial_credits(self, number, agent, slots):
        for index, scheduler in enumerate(self.entries):
            scheduler.add_agent(identity(number, slots=slots), 0)
            share = slots // len(self.entries)
            share += int(
                (index + number) % len(self.entries) < slots % len(self.entries)
            )
            scheduler.add_credits(f'agent-{number}.0', share, 0)
            agent.credits[index] = share
            agent.free -= share

    def schedule(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.event_numbers), action, arguments))

    def send(self, action, *arguments):
        self.schedule(self.now + LATENCY_S, action, *arguments)

    def run(self):
        self.schedule(0, self.receive_task)
        self.schedule(0, self.send_heartbeats)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.report.finished_at = max(self.seconds, self.report.finished_at)
        return self.report

    def receive_task(self):
        if self.now > self.seconds:
            return
        self.schedule(self.now + self.random.expovariate(self.rate), self.receive_task)
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
        self.run_scheduler(entry)

    def admits(self, entry, deadline):
        if self.controllers[entry] is None:
            return True
        try:
            self.controllers[entry].admit('a', SERVICE, 1, deadline, self.now)
        except RequestError:
            return False
        return True

    def send_heartbeats(self):
        for number, agent in enumerate(self.agents):
            for scheduler in self.entries:
                name = f'agent-{number}.0'
                scheduler.update_agent(name, 'open', agent.running, self.now)
        if self.now < self.seconds:
            self.schedule(self.now + HEARTBEAT_S, self.send_heartbeats)

    def run_scheduler(self, entry):
        scheduler = self.entries[entry]
        self.report.expired += len(scheduler.pop_expired(self.now))
        for binding in scheduler.bind_tasks(self.now):
            waiting = scheduler.count_waiting(SERVICE)
            self.send(
                self.receive_dispatch,
                entry,
                agent_number(binding.agent),
                binding.task,
                waiting,
            )
        for demand in scheduler.collect_demands(self.now):
            self.report.control_messages['demand'] += 1
            self.send(
                self.receive_demand, entry, agent_number(demand.agent), demand.waiting
            )
        wakeup = scheduler.next_wakeup_at(self.now)
        if wakeup is not None:
            self.schedule(max(wakeup, self.now + 0.001), self.wake, entry, wakeup)

    def wake(self, entry, due_at):
        if self.entries[entry].next_wakeup_at(self.now) == due_at:
            self.run_scheduler(entry)

    def receive_dispatch(self, entry, number, pending, waiting):
        agent = self.agents[number]
        agent.credits[entry] -= 1
        agent.waiting_tasks[entry] = waiting
        agent.running += 1
        duration = self.tasks[pending.attempt_id.number]
        self.schedule(
            self.now + duration, self.end_task, entry, number, pending, duration
        )

    def end_task(self, entry, number, pending, duration):
        agent = self.agents[number]
        agent.running -= 1
        owner = agent.next_holder(entry)
        agent.credits[owner] += 1
        if owner != entry:
            self.report.control_messages['grant'] += 1
            self.send(self.receive_grant, owner, number, 1)
        piggybacked_credits = int(owner == entry)
        self.send(
            self.receive_outcome, entry, number, pending, duration, piggybacked_credits
        )

    def receive_outcome(self, entry, number, pending, duration, credits):
        scheduler = self.entries[entry]
        elapsed = self.now - pending.enqueued_at
        self.report.ratios.append(elapsed / (duration + 2 * LATENCY_S))
        self.report.late += int(self.now > pending.deadline)
        self.report.finished_at = self.now
        agent = f'agent-{number}.0'
        scheduler.record_outcome(agent, SERVICE, 'done', duration * 1000, self.now)
        self.receive_grant(entry, number, credits)

    def receive_grant(self, entry, number, credits):
        self.entries[entry].add_credits(f'agent-{number}.0', credits, self.now)
        self.run_scheduler(entry)

    def receive_demand(self, entry, number, waiting):
        agent = self.agents[number]
        agent.waiting_tasks[entry] = waiting
        for holder in agent.idle_holders(entry):
            self.report.control_messages['revoke'] += 1
            self.send(self.receive_revoke, holder, number, waiting)

    def receive_revoke(self, entry, number, count):
        returned = self.entries[entry].revoke_credits(f'agent-{number}.0', count)
        self.report.control_messages['credit return'] += 1
        self.send(self.receive_credit_return, entry, number, returned)

    def receive_credit_return(self, entry, number, count):
        agent = self.agents[number]
        agent.credits[entry] -= count
        owners = Counter(agent.next_holder(entry) for _ in range(count))
        agent.credits.update(owners)
        for owner, granted in owners.items():
            self.report.control_messages['grant'] += 1
            self.send(self.receive_grant, owner, number, granted)


def agent_number(incarnation):
    return int(incarnation.removeprefix('agent-').removesuffix('.0'))


def run_s(source):
    if source.random() < LONG_RUN_SHARE:
        return source.uniform(*LONG_RUN_S)
    return source.uniform(0.05, 1.0)


def mean_run_s():
    return (1 - LONG_RUN_SHARE) * 0.525 + LONG_RUN_SHARE * sum(LONG_RUN_S) / 2
