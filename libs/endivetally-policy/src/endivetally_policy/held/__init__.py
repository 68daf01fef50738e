"""Decisions on held jobs, free of any network: room, queue, placing, refusing."""

from endivetally_policy.held.admission import HeldAdmission
from endivetally_policy.held.admission import Load
from endivetally_policy.held.admission import Verdict
from endivetally_policy.held.admission import Work
from endivetally_policy.held.attempts import NextStep
from endivetally_policy.held.attempts import RunEnd
from endivetally_policy.held.attempts import next_step
from endivetally_policy.held.health import TargetHealth
from endivetally_policy.held.placement import AgentRoom
from endivetally_policy.held.placement import choose_agent
from endivetally_policy.held.prediction import ExpectedTimes
from endivetally_policy.held.queueing import WaitingJob
from endivetally_policy.held.queueing import is_hopeless
from endivetally_policy.held.queueing import urgency
from endivetally_policy.held.resources import Resources
from endivetally_policy.held.resources import Room
from endivetally_policy.held.slow_detection import SLOW_EVIDENCE
from endivetally_policy.held.slow_detection import slow_evidence

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
