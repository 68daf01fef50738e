"""Order, fairness, withdrawal and expiry in the fair queue."""

from collections import Counter

import pytest
from endivetally_policy.scheduling import FairQueue
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from policy.builders import task
from policy.list_queue import ListQueue

WEIGHTS = {'a': 1, 'b': 2, 'c': 3}

pushes = st.tuples(
    st.just('push'),
    st.sampled_from('abc'),
    st.integers(0, 2),
    st.integers(0, 4),
    st.integers(1, 9),
)
steps = st.lists(
    st.one_of(
        pushes,
        pushes,
        st.tuples(st.just('pop')),
        st.tuples(st.just('withdraw'), st.integers(0, 4)),
        st.tuples(st.just('expire'), st.integers(1, 9)),
    ),
    max_size=80,
)


def drain(queue):
    return [queue.pop() for _ in range(len(queue))]


class TestOrder:
    def test_fifo_within_a_team(self):
        queue = FairQueue()
        tasks = [task(number) for number in range(5)]
        for each in tasks:
            queue.push(each)
        assert queue.peek() is tasks[0]
        assert drain(queue) == tasks

    def test_lower_priority_number_goes_first(self):
        queue = FairQueue()
        low = task(0, priority=2)
        high = task(1, priority=0)
        queue.push(low)
        queue.push(high)
        assert drain(queue) == [high, low]

    def test_large_job_does_not_block_another_team(self):
        queue = FairQueue()
        for number in range(1800):
            queue.push(task(number, team='a'))
        queue.push(task(0, sequence=1, team='b'))
        assert 'b' in {queue.pop().team for _ in range(2)}

    def test_task_pushed_to_the_front_is_next(self):
        queue = FairQueue()
        for number in range(3):
            queue.push(task(number))
        first = queue.pop()
        queue.push_front(first)
        assert queue.peek() is first
        assert queue.earliest_deadline() == first.deadline

    def test_empty_queue_has_no_task(self):
        queue = FairQueue()
        assert queue.peek() is None
        assert queue.earliest_deadline() is None
        with pytest.raises(IndexError):
            queue.pop()


class TestFairness:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(1, 5), min_size=2, max_size=5), st.integers(1, 60))
    def test_teams_with_queued_tasks_are_served_by_weight(self, weights, rounds):
        queue = FairQueue()
        for index, weight in enumerate(weights):
            for number in range(weight * rounds):
                queue.push(task(number, index, team=str(index), weight=weight))
        served = Counter(queue.pop().team for _ in range(sum(weights) * rounds // 2))
        for index, weight in enumerate(weights):
            fair = weight * rounds / 2
            assert abs(served[str(index)] - fair) <= weight

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.integers(0, 30), min_size=2, max_size=4), st.integers(1, 20))
    def test_count_ahead_is_exact_within_one_round(self, backlogs, count):
        queue = FairQueue()
        for index, backlog in enumerate(backlogs):
            for number in range(backlog):
                queue.push(task(number, index, team=str(index)))
        estimated = queue.count_ahead(1, 'new', 1, count)
        last = task(count - 1, 99, team='new')
        for number in range(count):
            queue.push(task(number, 99, team='new'))
        measured = drain(queue).index(last) - (count - 1)
        assert estimated - len(backlogs) <= measured <= estimated


class TestAgainstReference:
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(steps)
    def test_results_equal_those_of_the_reference(self, plan):
        queue = FairQueue()
        naive = ListQueue()
        for number, step in enumerate(plan):
            self.apply(queue, naive, number, step)
            assert len(queue) == len(naive.tasks)
        while naive.tasks:
            assert queue.pop() == naive.pop()

    def apply(self, queue, naive, number, step):
        if step[0] == 'push':
            _, team, priority, sequence, deadline = step
            pushed = task(
                number,
                sequence,
                team,
                priority=priority,
                weight=WEIGHTS[team],
                deadline=deadline,
            )
            queue.push(pushed)
            naive.push(pushed)
        elif step[0] == 'pop' and naive.tasks:
            assert queue.pop() == naive.pop()
        elif step[0] == 'withdraw':
            removed = queue.withdraw_request('entry-1.0', step[1])
            assert removed == naive.withdraw_request('entry-1.0', step[1])
        elif step[0] == 'expire':
            removed = queue.pop_expired(step[1])
            assert by_name(removed) == by_name(naive.pop_expired(step[1]))


def by_name(tasks):
    return sorted(each.attempt_id.number for each in tasks)
