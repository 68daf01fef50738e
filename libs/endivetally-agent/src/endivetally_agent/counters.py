"""Counters of an agent."""

from collections import Counter


class AgentCounters:
    """What happened since the start of the process."""

    def __init__(self) -> None:
        self.starts = 0
        self.refusals: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.duplicates = 0
        self.cancellations = 0
        self.joins = 0
        self.join_failures = 0
        self.table_failures = 0
        self.credits: Counter[str] = Counter()
