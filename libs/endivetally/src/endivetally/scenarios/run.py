"""Runs a scenario on its own fleet."""

import asyncio
import logging
import shutil
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Final

from endivetally_core.errors import EndivetallyError

from endivetally.scenarios.environment import Environment
from endivetally.scenarios.invariants import Totals
from endivetally.scenarios.invariants import check_invariants
from endivetally.scenarios.invariants import count_outcomes
from endivetally.scenarios.invariants import count_totals
from endivetally.scenarios.parser import Scenario
from endivetally.scenarios.report import ScenarioReport

_log = logging.getLogger(__name__)

# Delay after the last response, so that task starts that follow it are counted.
SETTLE_DELAY_S: Final = 1
EMPTY_TOTALS: Final = Totals(0, 0, 0, 0, 0)


@dataclass(slots=True)
class _RunResult:
    """Totals, outcomes and failures of a run."""

    totals: Totals = EMPTY_TOTALS
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)


async def run_scenario(
    scenario: Scenario,
    file: Path,
    seed: int,
    logs: Path | None = None,
) -> ScenarioReport:
    """Start a fleet, run every step and check the invariants.

    :param file: path of the scenario, for the report.
    :param seed: seed of the callers' load balancer.
    :param logs: directory to which logs and start records are copied.
    """
    began = time.monotonic()
    result = _RunResult()
    try:
        async with Environment(scenario.deployment, seed) as environment:
            await _run_and_check(scenario, environment, result)
            if logs is not None:
                _copy_logs(environment, logs / file.stem)
    except EndivetallyError as error:
        result.failures.append(f'fleet error: {error}')
    return ScenarioReport(
        name=scenario.name,
        promise=scenario.promise,
        passed=not result.failures,
        starts=result.totals.starts,
        doubled=result.totals.doubled,
        partial=result.totals.partial,
        lost=result.totals.lost,
        interrupted=result.totals.interrupted,
        answers=result.answers,
        failures=result.failures,
        file=str(file),
        seed=seed,
        seconds=time.monotonic() - began,
    )


async def _run_and_check(
    scenario: Scenario, environment: Environment, result: _RunResult
) -> None:
    result.failures += await _run_steps(scenario, environment)
    _log.info('%s: all steps have ended', scenario.name)
    await environment.callers.wait_until_done()
    _log.info('%s: all requests have ended', scenario.name)
    await asyncio.sleep(SETTLE_DELAY_S)
    result.failures += check_invariants(environment)
    result.totals = count_totals(environment)
    result.answers = count_outcomes(environment.callers.submissions)


def _copy_logs(environment: Environment, directory: Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for pattern in ('*.log', '*.jsonl'):
        for file in environment.fleet.directory.glob(pattern):
            shutil.copy(file, directory)


async def _run_steps(scenario: Scenario, environment: Environment) -> list[str]:
    """Run the steps in order; the first failure ends the scenario."""
    for line in scenario.lines:
        _log.info('%s line %d: %s', scenario.name, line.number, line.step)
        try:
            await line.step.run(environment)
        except EndivetallyError as error:
            return [f'line {line.number}: {error}']
    return []
