"""Queue of the tasks of one pool, fair between teams."""

import heapq
import itertools
from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from endivetally_core.messages import AttemptId

    from endivetally_policy.scheduling.interface import PendingTask

# Stale entries that the deadline heap may hold beyond one per queued task.
_MAX_STALE_DEADLINES: Final = 64


class _PriorityClass:
    """Queued tasks of one priority, in deficit round robin between teams."""

    def __init__(self) -> None:
        self._teams: dict[str, OrderedDict[AttemptId, PendingTask]] = {}
        self._team_order: deque[str] = deque()
        self._quantum_left = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, task: 'PendingTask') -> None:
        if task.team not in self._teams:
            self._teams[task.team] = OrderedDict()
            self._team_order.append(task.team)
        self._teams[task.team][task.attempt_id] = task
        self._size += 1

    def push_front(self, task: 'PendingTask') -> None:
        if task.team not in self._teams:
            self._teams[task.team] = OrderedDict()
            self._team_order.appendleft(task.team)
            self._quantum_left = 0
        queue = self._teams[task.team]
        queue[task.attempt_id] = task
        queue.move_to_end(task.attempt_id, last=False)
        self._size += 1

    def pop(self) -> 'PendingTask':
        team = self._next_team()
        queue = self._teams[team]
        _, task = queue.popitem(last=False)
        self._size -= 1
        if self._quantum_left == 0:
            self._quantum_left = max(1, task.weight)
        self._quantum_left -= 1
        if not queue:
            self._drop_first_team()
        elif self._quantum_left == 0:
            self._team_order.rotate(-1)
        return task

    def peek(self) -> 'PendingTask':
        queue = self._teams[self._next_team()]
        return next(iter(queue.values()))

    def discard(self, task: 'PendingTask') -> None:
        self._teams[task.team].pop(task.attempt_id)
        self._size -= 1

    def count_ahead(self, team: str, weight: int, count: int) -> int:
        own = len(self._teams.get(team, ()))
        rounds = -(-(own + count) // max(1, weight))
        return own + sum(
            min(len(queue), rounds * max(1, next(iter(queue.values())).weight))
            for other, queue in self._teams.items()
            if other != team and queue
        )

    def _next_team(self) -> str:
        while not self._teams[self._team_order[0]]:
            self._drop_first_team()
        return self._team_order[0]

    def _drop_first_team(self) -> None:
        self._teams.pop(self._team_order.popleft())
        self._quantum_left = 0


class FairQueue:
    """Queued tasks by priority, then in deficit round robin between teams.

    Every operation takes amortised constant time, except that the heap of
    deadlines takes logarithmic time.
    """

    def __init__(self) -> None:
        self._classes: dict[int, _PriorityClass] = {}
        self._priorities: list[int] = []
        self._requests: dict[tuple[str, int], dict[AttemptId, PendingTask]] = {}
        self._deadlines: list[tuple[float, int, PendingTask]] = []
        self._insertion_numbers = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of queued tasks."""
        return self._size

    def push(self, task: 'PendingTask') -> None:
        """Add a task behind the other tasks of its team."""
        self._priority_class(task).append(task)
        self._add_to_request(task)
        heapq.heappush(
            self._deadlines,
            (task.deadline, next(self._insertion_numbers), task),
        )
        self._compact()

    def push_front(self, task: 'PendingTask') -> None:
        """Put a popped task back in front of the other tasks of its team."""
        self._priority_class(task).push_front(task)
        self._add_to_request(task)

    def pop(self) -> 'PendingTask':
        """Remove and return the next task.

        :raises IndexError: when the queue is empty.
        """
        for priority in self._priorities:
            priority_class = self._classes[priority]
            if priority_class:
                task = priority_class.pop()
                self._remove_from_request(task)
                return task
        raise IndexError('pop from an empty queue')

    def peek(self) -> 'PendingTask | None':
        """Return the next task, or ``None`` if the queue is empty."""
        for priority in self._priorities:
            priority_class = self._classes[priority]
            if priority_class:
                return priority_class.peek()
        return None

    def withdraw_request(self, owner: str, sequence: int) -> list['PendingTask']:
        """Remove and return the tasks of one request.

        :param owner: entry that accepted the request.
        :param sequence: number of the request at that entry.
        """
        tasks = list(self._requests.get((owner, sequence), {}).values())
        for task in tasks:
            self._remove(task)
        self._compact()
        return tasks

    def pop_expired(self, now: float) -> list['PendingTask']:
        """Remove and return the tasks whose deadline is not later than ``now``."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            task = heapq.heappop(self._deadlines)[-1]
            if self._is_queued(task):
                self._remove(task)
                expired.append(task)
        return expired

    def earliest_deadline(self) -> float | None:
        """Return the earliest deadline of a queued task."""
        while self._deadlines:
            deadline, _, task = self._deadlines[0]
            if self._is_queued(task):
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def count_ahead(self, priority: int, team: str, weight: int, count: int) -> int:
        """Return how many tasks would be popped before the last new one.

        :param weight: share of the team relative to other teams.
        :param count: number of new tasks of the team.
        """
        ahead = 0
        for other_priority in self._priorities:
            if other_priority < priority:
                ahead += len(self._classes[other_priority])
        same_priority = self._classes.get(priority)
        return (
            ahead
            if same_priority is None
            else ahead + same_priority.count_ahead(team, weight, count)
        )

    def _priority_class(self, task: 'PendingTask') -> _PriorityClass:
        if task.priority not in self._classes:
            self._classes[task.priority] = _PriorityClass()
            self._priorities = sorted(self._classes)
        return self._classes[task.priority]

    def _add_to_request(self, task: 'PendingTask') -> None:
        request = (task.attempt_id.owner, task.attempt_id.sequence)
        self._requests.setdefault(request, {})[task.attempt_id] = task
        self._size += 1

    def _remove_from_request(self, task: 'PendingTask') -> None:
        request = (task.attempt_id.owner, task.attempt_id.sequence)
        tasks = self._requests[request]
        tasks.pop(task.attempt_id)
        if not tasks:
            self._requests.pop(request)
        self._size -= 1

    def _remove(self, task: 'PendingTask') -> None:
        self._classes[task.priority].discard(task)
        self._remove_from_request(task)

    def _is_queued(self, task: 'PendingTask') -> bool:
        request = (task.attempt_id.owner, task.attempt_id.sequence)
        return task.attempt_id in self._requests.get(request, {})

    def _compact(self) -> None:
        if len(self._deadlines) <= 2 * self._size + _MAX_STALE_DEADLINES:
            return
        self._deadlines = [
            entry for entry in self._deadlines if self._is_queued(entry[-1])
        ]
        heapq.heapify(self._deadlines)
