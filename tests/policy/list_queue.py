"""List version of the fair queue, to compare with."""


class ListQueue:
    """Scans all waiting tasks for each answer."""

    def __init__(self):
        self.tasks = []
        self.turns = {}
        self.served = {}

    def push(self, task):
        turns = self.turns.setdefault(task.priority, [])
        if task.team not in turns:
            turns.append(task.team)
        self.tasks.append(task)

    def pop(self):
        priority = min(task.priority for task in self.tasks)
        turns = self.turns[priority]
        while not self._of(priority, turns[0]):
            self.served[priority] = 0
            turns.pop(0)
        first = self._of(priority, turns[0])[0]
        self.tasks.remove(first)
        served = self.served.get(priority, 0) + 1
        self.served[priority] = served
        if not self._of(priority, turns[0]):
            turns.pop(0)
            self.served[priority] = 0
        elif served >= first.weight:
            turns.append(turns.pop(0))
            self.served[priority] = 0
        return first

    def withdraw_request(self, owner, sequence):
        return self._take(lambda task: task.name.sequence == sequence)

    def pop_expired(self, limit):
        return self._take(lambda task: task.deadline <= limit)

    def _of(self, priority, team):
        return [
            task
            for task in self.tasks
            if task.priority == priority and task.team == team
        ]

    def _take(self, matches):
        taken = [task for task in self.tasks if matches(task)]
        self.tasks = [task for task in self.tasks if not matches(task)]
        return taken
