"""Binding of tasks to slots that other entries left free."""

import pytest
from endivetally_policy.scheduling import Binding
from endivetally_policy.scheduling import CreditScheduler
from policy.builders import join
from policy.builders import task


def _scheduler(used_slots, agents=1, granted=0):
    scheduler = CreditScheduler('dc1')
    join(scheduler, agents, granted=granted)
    for number in range(agents):
        scheduler.update_other_load(f'agent-{number}.0', used_slots, 0.0)
    return scheduler


class TestBorrowing:
    @pytest.mark.parametrize(
        ('used_slots', 'now', 'bound'),
        [(8, 0, 0), (7, 0.005, 1), (7, 0.05, 0), (4, 0.05, 3), (4, 1, 0)],
    )
    def test_only_slots_free_in_a_valid_report_are_borrowed(
        self, used_slots, now, bound
    ):
        scheduler = _scheduler(used_slots)
        for number in range(8):
            scheduler.submit(task(number), now)
        bindings = scheduler.bind_tasks(now)
        assert [binding.borrowed for binding in bindings] == [True] * bound

    @pytest.mark.parametrize(('used_slots', 'bound'), [(7, 0), (6, 1), (4, 3)])
    def test_lower_priorities_leave_one_slot_of_each_agent(self, used_slots, bound):
        scheduler = _scheduler(used_slots)
        scheduler.submit(task(20, priority=0), 0)
        scheduler.withdraw_request('entry-1.0', 0)
        for number in range(8):
            scheduler.submit(task(number, priority=1), 0)
        assert len(scheduler.bind_tasks(0)) == bound

    def test_own_credits_are_used_first(self):
        scheduler = _scheduler(0, granted=1)
        first, second = task(0), task(1)
        scheduler.submit(first, 0)
        scheduler.submit(second, 0)
        assert scheduler.bind_tasks(0) == [
            Binding(first, 'agent-0.0'),
            Binding(second, 'agent-0.0', borrowed=True),
        ]

    @pytest.mark.parametrize(
        'fields', [{'avoided_agents': frozenset({'agent-0.0'})}, {'exclusive': True}]
    )
    def test_slots_of_agents_that_the_task_must_not_use_are_not_borrowed(self, fields):
        scheduler = _scheduler(0)
        scheduler.submit(task(0, **fields), 0)
        assert scheduler.bind_tasks(0) == []

    def test_slots_of_leaving_agents_are_not_borrowed(self):
        scheduler = _scheduler(0)
        scheduler.update_agent('agent-0.0', 'leaving', 0, 0)
        scheduler.submit(task(0), 0)
        assert scheduler.bind_tasks(0) == []
