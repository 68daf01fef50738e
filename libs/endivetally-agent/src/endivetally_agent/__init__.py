"""The agent daemon that runs next to each target."""

from endivetally_agent.admission import DispatchAdmission
from endivetally_agent.admission import RefusalReason
from endivetally_agent.agent import Agent
from endivetally_agent.agent import run_agent
from endivetally_agent.slots import CreditChange
from endivetally_agent.slots import SlotAllocator

__all__ = (
    'Agent',
    'CreditChange',
    'DispatchAdmission',
    'RefusalReason',
    'SlotAllocator',
    'run_agent',
)
