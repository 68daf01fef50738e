"""Decisions on held jobs, free of any network: room, queue, placing, refusing."""

from endivetally_policy.held.admission import HeldAdmission
from endivetally_policy.held.admission import Load
from endivetally_policy.held.admission import Verdict
from endivetally_policy.held.admission import Work
from endivetally_policy.held.attempts import NextStep
from endivetally_policy.held.attempts import RunEnd
from endivetally_policy.held.attempts import next_step
from endivetally_policy.held.expected import ExpectedTimes
from endivetally_policy.held.health import TargetHealth
from endivetally_policy.held.pace import SLOW_EVIDENCE
from endivetally_policy.held.pace import slow_evidence
from endivetally_policy.held.placing import AgentRoom
from endivetally_policy.held.placing import choose_agent
from endivetally_policy.held.queueing import WaitingJob
from endivetally_policy.held.queueing import is_hopeless
from endivetally_policy.held.queueing import urgency
from endivetally_policy.held.resources import Resources
from endivetally_policy.held.resources import Room

__all__ = (
    'SLOW_EVIDENCE',
    'AgentRoom',
    'ExpectedTimes',
    'HeldAdmission',
    'Load',
    'NextStep',
    'Resources',
    'Room',
    'RunEnd',
    'TargetHealth',
    'Verdict',
    'WaitingJob',
    'Work',
    'choose_agent',
    'is_hopeless',
    'next_step',
    'slow_evidence',
    'urgency',
)
