"""Decisions of an entry: scheduling, admission, quotas, retries, ejection, hedging.

The classes do no I/O, and take the time as an argument.
"""

from endivetally_policy.admission import AdmissionController
from endivetally_policy.admission import AdmissionSettings
from endivetally_policy.ejection import EjectionSettings
from endivetally_policy.ejection import EjectionState
from endivetally_policy.ejection import ServiceHealth
from endivetally_policy.estimates import RunTimeEstimate
from endivetally_policy.estimates import RunTimeEstimates
from endivetally_policy.hedging import HedgePolicy
from endivetally_policy.hedging import NoHedging
from endivetally_policy.hedging import QuantileHedging
from endivetally_policy.quotas import TeamQuotas
from endivetally_policy.retries import EndedAttempt
from endivetally_policy.retries import RetryDecision
from endivetally_policy.retries import RetryPolicy

__all__ = (
    'AdmissionController',
    'AdmissionSettings',
    'EjectionSettings',
    'EndedAttempt',
    'HedgePolicy',
    'NoHedging',
    'QuantileHedging',
    'RetryDecision',
    'RetryPolicy',
    'RunTimeEstimate',
    'RunTimeEstimates',
    'ServiceHealth',
    'EjectionState',
    'TeamQuotas',
)
