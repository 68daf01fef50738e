"""Counters of an agent."""

from endivetally_core.metrics import LabelledCounter


class AgentCounters:
    """Numbers of events since the process started."""

    def __init__(self) -> None:
        self.starts = LabelledCounter()
        self.refusals = LabelledCounter()
        self.outcomes = LabelledCounter()
        self.duplicates = LabelledCounter()
        self.cancellations = LabelledCounter()
        self.joins = LabelledCounter()
        self.table_failures = LabelledCounter()
        self.credits = LabelledCounter()
