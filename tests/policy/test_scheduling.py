"""Invariants of the credit scheduler, its choice of agents, and its demands."""

from collections import Counter

import pytest
from endivetally_policy.scheduling import CreditScheduler
from endivetally_policy.scheduling import NaiveScheduler
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test
from policy.builders import SERVICE
from policy.builders import identity
from policy.builders import join
from policy.builders import task
from policy.simulation import Simulation

AGENTS = st.integers(0, 4)
STATUSES = st.sampled_from(['done', 'failed', 'refused', 'unknown', 'cancelled'])
# Bindings of non-exclusive and of exclusive tasks, over all examples.
BINDING_COUNTS = Counter()


class CreditRules(RuleBasedStateMachine):
    """Checks every binding against a plain count of the credits."""

    def __init__(self):
        super().__init__()
        self.scheduler = CreditScheduler('dc1')
        self.credits = Counter()
        self.open = set()
        self.admitted = set()
        self.bound = []
        self.submitted = 0
        self.removed_count = 0
        self.now = 0.0

    @initialize(admitted=st.sets(AGENTS))
    def start(self, admitted):
        for number in range(5):
            self.agent_joins(number)
            self.grant(number, 2)
        for number in admitted:
            self.admit(number)

    @rule(number=AGENTS)
    def agent_joins(self, number):
        agent = identity(number)
        self.scheduler.add_agent(agent, self.now)
        self.credits[agent.incarnation] = 0
        self.open.add(agent.incarnation)

    @rule(number=AGENTS)
    def agent_leaves(self, number):
        incarnation = identity(number).incarnation
        self.scheduler.remove_agent(incarnation, self.now)
        self.open.discard(incarnation)
        self.credits[incarnation] = 0

    @rule(number=AGENTS, running=st.integers(0, 8))
    def agent_drains(self, number, running):
        incarnation = identity(number).incarnation
        self.scheduler.update_agent(incarnation, 'leaving', running, self.now)
        self.open.discard(incarnation)
        self.credits[incarnation] = 0

    @rule(number=AGENTS)
    def admit(self, number):
        incarnation = identity(number).incarnation
        self.scheduler.admit_agents(frozenset([incarnation]))
        self.admitted.add(incarnation)

    @rule(number=AGENTS, count=st.integers(1, 4))
    def grant(self, number, count):
        incarnation = identity(number).incarnation
        self.scheduler.add_credits(incarnation, count, self.now)
        if incarnation in self.open:
            self.credits[incarnation] += count

    @rule(number=AGENTS, count=st.integers(1, 4))
    def revoke(self, number, count):
        incarnation = identity(number).incarnation
        returned = self.scheduler.revoke_credits(incarnation, count)
        assert returned == min(count, self.credits[incarnation])
        self.credits[incarnation] -= returned

    @rule(
        count=st.integers(1, 6),
        exclusive=st.booleans(),
        avoided=st.sets(AGENTS, max_size=3),
        sequence=st.integers(0, 3),
    )
    def submit(self, count, exclusive, avoided, sequence):
        for _ in range(count):
            self.submit_one(exclusive, avoided, sequence)
        self.bind()

    def submit_one(self, exclusive, avoided, sequence):
        avoid = frozenset(identity(number).incarnation for number in avoided)
        pending = task(
            self.submitted,
            sequence,
            deadline=self.now + 5,
            enqueued_at=self.now,
            exclusive=exclusive,
            avoided_agents=avoid,
        )
        self.scheduler.submit(pending, self.now)
        self.submitted += 1

    @rule(sequence=st.integers(0, 3))
    def withdraw(self, sequence):
        self.removed_count += len(
            self.scheduler.withdraw_request('entry-1.0', sequence)
        )

    @rule(passed=st.floats(0, 3))
    def time_passes(self, passed):
        self.now += passed
        expired = self.scheduler.pop_expired(self.now)
        assert all(each.deadline <= self.now for each in expired)
        self.removed_count += len(expired)

    @rule()
    def bind(self):
        for binding in self.scheduler.bind_tasks(self.now):
            assert self.credits[binding.agent] > 0
            assert binding.agent in self.open
            if binding.task.exclusive:
                assert binding.agent in self.admitted
            self.credits[binding.agent] -= 1
            self.bound.append(binding)
            self.removed_count += 1
            BINDING_COUNTS[binding.task.exclusive] += 1

    @rule(status=STATUSES, run_ms=st.floats(1, 5000))
    def end(self, status, run_ms):
        if self.bound:
            agent = self.bound.pop(0).agent
            self.scheduler.record_outcome(agent, SERVICE, status, run_ms, self.now)

    @rule()
    def demand(self):
        for asked in self.scheduler.collect_demands(self.now):
            assert asked.agent in self.open
            assert asked.waiting > 0

    @invariant()
    def no_task_is_lost(self):
        assert (
            self.scheduler.count_waiting(SERVICE) == self.submitted - self.removed_count
        )

    @invariant()
    def views_agree(self):
        reported = {
            view.identity.incarnation: view.credits
            for view in self.scheduler.list_agents(SERVICE)
        }
        assert all(
            reported[incarnation] == self.credits[incarnation]
            for incarnation in reported
        )
        assert self.scheduler.count_outstanding(SERVICE) >= 0


class TestCreditRules:
    def test_invariants_hold_in_any_order_of_events(self):
        BINDING_COUNTS.clear()
        rules = settings(
            derandomize=True,
            deadline=None,
            max_examples=150,
            stateful_step_count=40,
        )
        run_state_machine_as_test(CreditRules, settings=rules)
        assert min(BINDING_COUNTS[False], BINDING_COUNTS[True]) > 100, (
            'too few bindings to check the invariants'
        )


class TestChoice:
    def test_agents_of_the_own_data_centre_are_used_first(self):
        scheduler = CreditScheduler('dc2')
        scheduler.add_agent(identity(1, 'dc1'), 0)
        scheduler.add_agent(identity(2, 'dc2'), 0)
        scheduler.add_credits('agent-1.0', 8, 0)
        scheduler.add_credits('agent-2.0', 1, 0)
        for number in range(2):
            scheduler.submit(task(number), 0)
        agents = [binding.agent for binding in scheduler.bind_tasks(0)]
        assert agents == ['agent-2.0', 'agent-1.0']

    def test_agent_with_the_most_unused_credits_is_used_first(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 3, granted=1)
        scheduler.add_credits('agent-1.0', 2, 0)
        scheduler.submit(task(), 0)
        assert scheduler.bind_tasks(0)[0].agent == 'agent-1.0'

    def test_load_spreads_over_racks(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 6, granted=1)
        for number in range(2):
            scheduler.submit(task(number), 0)
            bindings = scheduler.bind_tasks(0)
            scheduler.add_credits(bindings[0].agent, 1, 0)
        assert {view.outstanding for view in scheduler.list_agents(SERVICE)} == {0, 1}

    @pytest.mark.parametrize(
        ('avoid', 'expected'),
        [
            ({'agent-0.0'}, 'agent-1.0'),
            ({'agent-1.0'}, 'agent-0.0'),
            ({'agent-0.0', 'agent-1.0'}, 'agent-0.0'),
        ],
        ids=['first', 'second', 'all, then any'],
    )
    def test_avoided_agent_is_the_last_resort(self, avoid, expected):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 2, granted=1)
        scheduler.add_credits('agent-0.0', 1, 0)
        scheduler.submit(task(avoided_agents=frozenset(avoid)), 0)
        assert scheduler.bind_tasks(0)[0].agent == expected

    def test_task_that_cannot_be_bound_does_not_block_others(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 2)
        scheduler.add_credits('agent-0.0', 1, 0)
        task_to_skip = task(0, avoided_agents=frozenset(['agent-0.0']))
        scheduler.submit(task_to_skip, 0)
        scheduler.submit(task(1), 0)
        assert [
            binding.task.attempt_id.number for binding in scheduler.bind_tasks(0)
        ] == [1]
        assert scheduler.count_waiting(SERVICE) == 1

    @pytest.mark.parametrize('idle_calls', [0, 1, 2])
    def test_calls_without_credits_do_not_change_the_team_order(self, idle_calls):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 1)
        for number in range(100):
            scheduler.submit(task(number, 0, 'a', weight=1), 0)
            scheduler.submit(task(number, 1, 'b', weight=3), 0)
        served = Counter()
        for _ in range(40):
            assert not any(scheduler.bind_tasks(0) for _ in range(idle_calls))
            scheduler.add_credits('agent-0.0', 1, 0)
            served.update(binding.task.team for binding in scheduler.bind_tasks(0))
        assert served == {'a': 10, 'b': 30}

    def test_failing_agent_gets_probes_only(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 4, granted=100)
        for number in range(40):
            scheduler.submit(task(number), 0)
        for binding in scheduler.bind_tasks(0):
            status = 'failed' if binding.agent == 'agent-0.0' else 'done'
            scheduler.record_outcome(binding.agent, SERVICE, status, 100, 0.1)
        assert scheduler.capacity(SERVICE) == 24
        assert self.bound_to(scheduler, 0.2) == 0
        assert self.bound_to(scheduler, 6.0) == 1

    def test_slow_agent_is_tried_last(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 4, granted=100)
        for number in range(200):
            scheduler.submit(task(number), 0)
        for binding in scheduler.bind_tasks(0):
            run_ms = 2000 if binding.agent == 'agent-0.0' else 100
            scheduler.record_outcome(binding.agent, SERVICE, 'done', run_ms, 0.1)
        assert [view.slow for view in scheduler.list_agents(SERVICE)].count(True) == 1
        assert self.bound_to(scheduler, 0.2) == 0

    def bound_to(self, scheduler, now):
        for number in range(20):
            scheduler.submit(task(number, sequence=int(now * 10), deadline=99), now)
        agents = [binding.agent for binding in scheduler.bind_tasks(now)]
        return agents.count('agent-0.0')


class TestDemands:
    def test_first_demand_is_sent_after_the_least_wait(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 5)
        scheduler.submit(task(), 0)
        assert not scheduler.collect_demands(0.001)
        assert scheduler.next_wakeup_at(0.001) == pytest.approx(0.003)
        assert len(scheduler.collect_demands(0.004)) == 1
        assert not scheduler.collect_demands(0.005)

    def test_least_loaded_agent_of_the_own_data_centre_is_asked(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 3)
        scheduler.add_agent(identity(3, 'dc2'), 0)
        for number, running in enumerate([8, 2, 8, 0]):
            scheduler.update_agent(f'agent-{number}.0', 'open', running, 0)
        scheduler.submit(task(), 0)
        assert [asked.agent for asked in scheduler.collect_demands(1)] == ['agent-1.0']

    def test_budget_limits_demands_while_tasks_are_queued(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 5, granted=1)
        for number in range(1000):
            scheduler.submit(task(number, deadline=99), 0)
        bound = len(scheduler.bind_tasks(0))
        sent = sum(len(scheduler.collect_demands(tick / 100)) for tick in range(1000))
        assert bound == 5
        assert sent <= 8 + 2 * 3

    @pytest.mark.parametrize('load', [0.5, 0.8, 0.95])
    def test_demands_are_below_one_percent_of_the_messages(self, load):
        report = Simulation(load, 40).run()
        assert report.control_messages['demand'] <= 0.01 * 2 * len(report.ratios)

    def test_only_admitted_agents_are_asked_for_exclusive_tasks(self):
        scheduler = CreditScheduler('dc1')
        join(scheduler, 3)
        scheduler.admit_agents(frozenset(['agent-2.0']))
        scheduler.submit(task(exclusive=True), 0)
        assert [asked.agent for asked in scheduler.collect_demands(1)] == ['agent-2.0']

    def test_no_demand_is_due_without_agents(self):
        scheduler = CreditScheduler('dc1')
        scheduler.submit(task(), 0)
        assert not scheduler.collect_demands(5)
        assert scheduler.next_wakeup_at(5) == 10


class TestNaiveScheduler:
    def test_tasks_are_bound_without_credits(self):
        scheduler = NaiveScheduler()
        join(scheduler, 3)
        for number in range(30):
            scheduler.submit(task(number), 0)
        bindings = scheduler.bind_tasks(0)
        assert len({binding.agent for binding in bindings}) == 3
        assert scheduler.count_waiting(SERVICE) == 0

    def test_exclusive_task_waits_for_an_admitted_agent(self):
        scheduler = NaiveScheduler()
        join(scheduler, 3)
        scheduler.submit(task(exclusive=True), 0)
        assert not scheduler.bind_tasks(0)
        scheduler.admit_agents(frozenset(['agent-1.0']))
        assert [binding.agent for binding in scheduler.bind_tasks(0)] == ['agent-1.0']
