"""Queue of the waiting tasks of one service, fair between teams."""

import heapq
import itertools
from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from endivetally_core.messages import AttemptId

    from endivetally_policy.scheduling.interface import PendingTask

_COMPACT_ABOVE: Final = 64


class _PriorityClass:
    """Tasks of one priority, by deficit round robin between teams."""

    def __init__(self) -> None:
        self._teams: dict[str, OrderedDict[AttemptId, PendingTask]] = {}
        self._turns: deque[str] = deque()
        self._quantum = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, task: 'PendingTask') -> None:
        if task.team not in self._teams:
            self._teams[task.team] = OrderedDict()
            self._turns.append(task.team)
        self._teams[task.team][task.name] = task
        self._size += 1

    def restore(self, task: 'PendingTask') -> None:
        if task.team not in self._teams:
            self._teams[task.team] = OrderedDict()
            self._turns.appendleft(task.team)
            self._quantum = 0
        queue = self._teams[task.team]
        queue[task.name] = task
        queue.move_to_end(task.name, last=False)
        self._size += 1

    def pop(self) -> 'PendingTask':
        team = self._skip_empty_teams()
        queue = self._teams[team]
        _, task = queue.popitem(last=False)
        self._size -= 1
        if self._quantum == 0:
            self._quantum = max(1, task.weight)
        self._quantum -= 1
        if not queue:
            self._drop_first_team()
        elif self._quantum == 0:
            self._turns.rotate(-1)
        return task

    def peek(self) -> 'PendingTask':
        queue = self._teams[self._skip_empty_teams()]
        return next(iter(queue.values()))

    def discard(self, task: 'PendingTask') -> None:
        self._teams[task.team].pop(task.name)
        self._size -= 1

    def count_ahead(self, team: str, weight: int, count: int) -> int:
        own = len(self._teams.get(team, ()))
        turns = -(-(own + count) // max(1, weight))
        return own + sum(
            min(len(queue), turns * max(1, next(iter(queue.values())).weight))
            for other, queue in self._teams.items()
            if other != team and queue
        )

    def _skip_empty_teams(self) -> str:
        while not self._teams[self._turns[0]]:
            self._drop_first_team()
        return self._turns[0]

    def _drop_first_team(self) -> None:
        self._teams.pop(self._turns.popleft())
        self._quantum = 0


class FairQueue:
    """Waiting tasks by priority, then deficit round robin between teams.

    Every operation takes constant amortised time, but for the logarithm of the
    deadline heap.
    """

    def __init__(self) -> None:
        self._classes: dict[int, _PriorityClass] = {}
        self._priorities: list[int] = []
        self._requests: dict[tuple[str, int], dict[AttemptId, PendingTask]] = {}
        self._deadlines: list[tuple[float, int, PendingTask]] = []
        self._numbers = itertools.count()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of waiting tasks."""
        return self._size

    def push(self, task: 'PendingTask') -> None:
        """Add a task behind those of its team."""
        self._class_of(task).append(task)
        self._index(task)
        heapq.heappush(
            self._deadlines,
            (task.deadline, next(self._numbers), task),
        )
        self._compact()

    def restore(self, task: 'PendingTask') -> None:
        """Put a popped task back in front of those of its team."""
        self._class_of(task).restore(task)
        self._index(task)

    def pop(self) -> 'PendingTask':
        """Remove and return the next task.

        :raises IndexError: when the queue is empty.
        """
        for priority in self._priorities:
            ready = self._classes[priority]
            if ready:
                task = ready.pop()
                self._forget(task)
                return task
        raise IndexError('pop from an empty queue')

    def peek(self) -> 'PendingTask | None':
        """Return the next task, if there is one."""
        for priority in self._priorities:
            ready = self._classes[priority]
            if ready:
                return ready.peek()
        return None

    def withdraw_request(self, owner: str, sequence: int) -> list['PendingTask']:
        """Remove and return the tasks of one request."""
        tasks = list(self._requests.get((owner, sequence), {}).values())
        for task in tasks:
            self._remove(task)
        self._compact()
        return tasks

    def pop_until_deadline(self, limit: float) -> list['PendingTask']:
        """Remove and return the tasks whose deadline is at or before a limit."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= limit:
            task = heapq.heappop(self._deadlines)[-1]
            if self._holds(task):
                self._remove(task)
                expired.append(task)
        return expired

    def first_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting task."""
        while self._deadlines:
            deadline, _, task = self._deadlines[0]
            if self._holds(task):
                return deadline
            heapq.heappop(self._deadlines)
        return None

    def count_ahead(self, priority: int, team: str, weight: int, count: int) -> int:
        """Return how many tasks are popped before the last of new ones.

        :param weight: share of the team relative to other teams.
        :param count: number of the new tasks of the team.
        """
        ahead = 0
        for number in self._priorities:
            if number < priority:
                ahead += len(self._classes[number])
        same = self._classes.get(priority)
        return ahead if same is None else ahead + same.count_ahead(team, weight, count)

    def _class_of(self, task: 'PendingTask') -> _PriorityClass:
        if task.priority not in self._classes:
            self._classes[task.priority] = _PriorityClass()
            self._priorities = sorted(self._classes)
        return self._classes[task.priority]

    def _index(self, task: 'PendingTask') -> None:
        request = (task.name.owner, task.name.sequence)
        self._requests.setdefault(request, {})[task.name] = task
        self._size += 1

    def _forget(self, task: 'PendingTask') -> None:
        request = (task.name.owner, task.name.sequence)
        tasks = self._requests[request]
        tasks.pop(task.name)
        if not tasks:
            self._requests.pop(request)
        self._size -= 1

    def _remove(self, task: 'PendingTask') -> None:
        self._classes[task.priority].discard(task)
        self._forget(task)

    def _holds(self, task: 'PendingTask') -> bool:
        request = (task.name.owner, task.name.sequence)
        return task.name in self._requests.get(request, {})

    def _compact(self) -> None:
        if len(self._deadlines) <= 2 * self._size + _COMPACT_ABOVE:
            return
        self._deadlines = [entry for entry in self._deadlines if self._holds(entry[-1])]
        heapq.heapify(self._deadlines)
