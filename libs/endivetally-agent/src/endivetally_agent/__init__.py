"""The agent daemon beside each target."""

from endivetally_agent.admission import Gate
from endivetally_agent.admission import Refusal
from endivetally_agent.agent import Agent
from endivetally_agent.agent import run_agent
from endivetally_agent.slots import CreditOrder
from endivetally_agent.slots import SlotLedger

__all__ = ('Agent', 'CreditOrder', 'Gate', 'Refusal', 'SlotLedger', 'run_agent')
