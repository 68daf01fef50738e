"""Schedulers, which decide which queued task is sent to which agent, and when."""

from endivetally_policy.scheduling.credits import CreditScheduler
from endivetally_policy.scheduling.demand import DemandSettings
from endivetally_policy.scheduling.fair_queue import FairQueue
from endivetally_policy.scheduling.interface import AgentView
from endivetally_policy.scheduling.interface import Binding
from endivetally_policy.scheduling.interface import CreditDemand
from endivetally_policy.scheduling.interface import PendingTask
from endivetally_policy.scheduling.interface import Scheduler
from endivetally_policy.scheduling.naive import NaiveScheduler

__all__ = (
    'AgentView',
    'Binding',
    'CreditDemand',
    'CreditScheduler',
    'DemandSettings',
    'FairQueue',
    'NaiveScheduler',
    'PendingTask',
    'Scheduler',
)
