"""Reference implementation of the fair queue on a plain list."""


class ListQueue:
    """Fair queue that scans all queued tasks on each call."""

    def __init__(self):
        self.tasks = []
        self.team_order = {}
        self.served_count = {}

    def push(self, task):
        team_order = self.team_order.setdefault(task.priority, [])
        if task.team not in team_order:
            team_order.append(task.team)
        self.tasks.append(task)

    def pop(self):
        priority = min(task.priority for task in self.tasks)
        team_order = self.team_order[priority]
        while not self._tasks_of(priority, team_order[0]):
            self.served_count[priority] = 0
            team_order.pop(0)
        first = self._tasks_of(priority, team_order[0])[0]
        self.tasks.remove(first)
        served_count = self.served_count.get(priority, 0) + 1
        self.served_count[priority] = served_count
        if not self._tasks_of(priority, team_order[0]):
            team_order.pop(0)
            self.served_count[priority] = 0
        elif served_count >= first.weight:
            team_order.append(team_order.pop(0))
            self.served_count[priority] = 0
        return first

    def withdraw_request(self, owner, sequence):
        return self._remove(lambda task: task.attempt_id.sequence == sequence)

    def pop_expired(self, now):
        return self._remove(lambda task: task.deadline <= now)

    def _tasks_of(self, priority, team):
        return [
            task
            for task in self.tasks
            if task.priority == priority and task.team == team
        ]

    def _remove(self, is_removed):
        removed = [task for task in self.tasks if is_removed(task)]
        self.tasks = [task for task in self.tasks if not is_removed(task)]
        return removed
