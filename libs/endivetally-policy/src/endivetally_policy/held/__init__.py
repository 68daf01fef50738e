"""Decisions on held jobs: admission, queueing, placement, retries, target health.

A held job is kept in memory and answered when its last task has ended. These
functions and classes do no I/O and take the time as an argument.
"""

from endivetally_policy.held.admission import AdmissionVerdict
from endivetally_policy.held.admission import HeldAdmissionPolicy
from endivetally_policy.held.admission import Load
from endivetally_policy.held.admission import ReturnWindow
from endivetally_policy.held.admission import Work
from endivetally_policy.held.crashes import SUSPECT_INTERVAL_S
from endivetally_policy.held.crashes import Crash
from endivetally_policy.held.crashes import CrashedRun
from endivetally_policy.held.crashes import CrashHistory
from endivetally_policy.held.crashes import CrashVerdict
from endivetally_policy.held.crashes import choose_confinement
from endivetally_policy.held.health import TargetHealth
from endivetally_policy.held.overload import CompetingService
from endivetally_policy.held.overload import Competition
from endivetally_policy.held.overload import QueuedJob
from endivetally_policy.held.overload import find_displaced
from endivetally_policy.held.placement import AgentLoad
from endivetally_policy.held.placement import choose_agent
from endivetally_policy.held.placement import find_suitable_rate
from endivetally_policy.held.prediction import RunTimePredictor
from endivetally_policy.held.queueing import WaitingJob
from endivetally_policy.held.queueing import queue_key
from endivetally_policy.held.queueing import should_give_up
from endivetally_policy.held.rates import KindRate
from endivetally_policy.held.rates import RateChangeDetector
from endivetally_policy.held.rates import ReportedRate
from endivetally_policy.held.rates import TargetRate
from endivetally_policy.held.rates import pool_rates
from endivetally_policy.held.resources import ResourceReservations
from endivetally_policy.held.resources import Resources
from endivetally_policy.held.run_ends import NextAction
from endivetally_policy.held.run_ends import RunEnd
from endivetally_policy.held.run_ends import next_action
from endivetally_policy.held.slow_detection import SLOW_LOG_ODDS
from endivetally_policy.held.slow_detection import slow_log_odds

__all__ = (
    'SLOW_LOG_ODDS',
    'SUSPECT_INTERVAL_S',
    'AgentLoad',
    'CompetingService',
    'Competition',
    'Crash',
    'CrashHistory',
    'CrashVerdict',
    'CrashedRun',
    'RunTimePredictor',
    'HeldAdmissionPolicy',
    'KindRate',
    'Load',
    'NextAction',
    'QueuedJob',
    'RateChangeDetector',
    'ReportedRate',
    'Resources',
    'ReturnWindow',
    'ResourceReservations',
    'RunEnd',
    'TargetHealth',
    'TargetRate',
    'AdmissionVerdict',
    'WaitingJob',
    'Work',
    'choose_agent',
    'choose_confinement',
    'find_displaced',
    'find_suitable_rate',
    'pool_rates',
    'should_give_up',
    'next_action',
    'slow_log_odds',
    'queue_key',
)
