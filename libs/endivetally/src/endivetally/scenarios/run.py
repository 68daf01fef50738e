"""Runs one scenario on a fleet of its own."""

import asyncio
import logging
import time
from typing import Final

from endivetally_core.errors import EndivetallyError

from endivetally.scenarios.judgement import Totals
from endivetally.scenarios.judgement import count_answers
from endivetally.scenarios.judgement import judge_invariants
from endivetally.scenarios.judgement import judge_totals
from endivetally.scenarios.language import Scenario
from endivetally.scenarios.report import ScenarioReport
from endivetally.scenarios.stage import Stage

_log = logging.getLogger(__name__)

SETTLE_S: Final = 1
NO_TOTALS: Final = Totals(0, 0, 0, 0, 0)


async def run_scenario(scenario: Scenario, file: str, seed: int) -> ScenarioReport:
    """Start a fleet, take every step and judge what happened.

    :param file: name of the scenario's file, for the report.
    :param seed: seed of the callers' choices.
    """
    began = time.monotonic()
    totals = NO_TOTALS
    failures: list[str] = []
    answers: dict[str, dict[str, int]] = {}
    try:
        async with Stage(scenario.deployment, seed) as stage:
            failures += await _take_steps(scenario, stage)
            _log.info('%s: steps taken', scenario.name)
            await stage.callers.wait()
            _log.info('%s: callers answered', scenario.name)
            await asyncio.sleep(SETTLE_S)
            failures += judge_invariants(stage)
            totals = judge_totals(stage)
            answers = count_answers(stage.callers.submissions)
    except EndivetallyError as error:
        failures.append(f'the fleet: {error}')
    return ScenarioReport(
        name=scenario.name,
        promise=scenario.promise,
        passed=not failures,
        starts=totals.starts,
        doubled=totals.doubled,
        partial=totals.partial,
        lost=totals.lost,
        interrupted=totals.interrupted,
        answers=answers,
        failures=failures,
        file=file,
        seed=seed,
        seconds=time.monotonic() - began,
    )


async def _take_steps(scenario: Scenario, stage: Stage) -> list[str]:
    """Take the steps; the first one that fails ends the scenario."""
    for line in scenario.lines:
        _log.info('%s line %d: %s', scenario.name, line.number, line.step)
        try:
            await line.step.run(stage)
        except EndivetallyError as error:
            return [f'line {line.number}: {error}']
    return []
