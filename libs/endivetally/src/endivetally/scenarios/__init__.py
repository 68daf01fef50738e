"""Scripted faults on a small fleet, and checks of what must hold under them."""

from endivetally.scenarios.parser import Scenario
from endivetally.scenarios.parser import ScenarioInvalid
from endivetally.scenarios.parser import parse_scenario
from endivetally.scenarios.report import ScenarioReport
from endivetally.scenarios.run import run_scenario

__all__ = (
    'Scenario',
    'ScenarioInvalid',
    'ScenarioReport',
    'parse_scenario',
    'run_scenario',
)
