"""Counters of an agent."""

from endivetally_core.metrics import LabelledCounter


class AgentCounters:
    """What happened since the start of the process."""

    def __init__(self) -> None:
        self.starts = LabelledCounter()
        self.refusals = LabelledCounter()
        self.outcomes = LabelledCounter()
        self.duplicates = LabelledCounter()
        self.cancellations = LabelledCounter()
        self.joins = LabelledCounter()
        self.table_failures = LabelledCounter()
        self.credits = LabelledCounter()
