"""Credits reserved for the highest priority in use."""

import pytest
from endivetally_policy.scheduling import CreditScheduler
from policy.builders import join
from policy.builders import task


@pytest.mark.parametrize(
    ('granted', 'highest', 'bound'),
    [(8, 0, 15), (8, 1, 16), (4, 0, 8)],
)
def test_lower_priorities_leave_the_reserved_credits(granted, highest, bound):
    scheduler = CreditScheduler('dc1')
    join(scheduler, 2, granted=granted)
    scheduler.submit(task(100, priority=highest), 0)
    assert len(scheduler.bind_tasks(0)) == 1
    scheduler.add_credits('agent-0.0', 1, 0)
    scheduler.record_outcome('agent-0.0', 'lookup', 'done', 1, 0)
    for number in range(20):
        scheduler.submit(task(number, priority=1), 0)
    assert len(scheduler.bind_tasks(0)) == bound


def test_highest_priority_uses_the_reserved_credits():
    scheduler = CreditScheduler('dc1')
    join(scheduler, 2, granted=8)
    for number in range(20):
        scheduler.submit(task(number, priority=0), 0)
    assert len(scheduler.bind_tasks(0)) == 16


def test_nothing_is_reserved_for_a_priority_no_longer_in_use():
    scheduler = CreditScheduler('dc1')
    join(scheduler, 2, granted=8)
    scheduler.submit(task(100, priority=0), 0)
    scheduler.withdraw_request('entry-1.0', 0)
    for number in range(20):
        scheduler.submit(task(number, priority=1), 61)
    assert len(scheduler.bind_tasks(61)) == 16
