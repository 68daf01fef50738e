"""Runs one scenario on a fleet of its own."""

import asyncio
import logging
import shutil
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
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


@dataclass(slots=True)
class _Findings:
    """What a run showed."""

    totals: Totals = NO_TOTALS
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)


async def run_scenario(
    scenario: Scenario,
    file: Path,
    seed: int,
    logs: Path | None = None,
) -> ScenarioReport:
    """Start a fleet, take every step and judge what happened.

    :param file: the scenario's file, for the report.
    :param seed: seed of the callers' choices.
    :param logs: directory that receives the logs and records of the fleet.
    """
    began = time.monotonic()
    findings = _Findings()
    try:
        async with Stage(scenario.deployment, seed) as stage:
            await _observe(scenario, stage, findings)
            if logs is not None:
                _keep_logs(stage, logs / file.stem)
    except EndivetallyError as error:
        findings.failures.append(f'the fleet: {error}')
    return ScenarioReport(
        name=scenario.name,
        promise=scenario.promise,
        passed=not findings.failures,
        starts=findings.totals.starts,
        doubled=findings.totals.doubled,
        partial=findings.totals.partial,
        lost=findings.totals.lost,
        interrupted=findings.totals.interrupted,
        answers=findings.answers,
        failures=findings.failures,
        file=str(file),
        seed=seed,
        seconds=time.monotonic() - began,
    )


async def _observe(scenario: Scenario, stage: Stage, findings: _Findings) -> None:
    findings.failures += await _take_steps(scenario, stage)
    _log.info('%s: steps taken', scenario.name)
    await stage.callers.wait()
    _log.info('%s: callers answered', scenario.name)
    await asyncio.sleep(SETTLE_S)
    findings.failures += judge_invariants(stage)
    findings.totals = judge_totals(stage)
    findings.answers = count_answers(stage.callers.submissions)


def _keep_logs(stage: Stage, directory: Path) -> None:
    directory.mkdir(parents=True, exist_ok=True)
    for pattern in ('*.log', '*.jsonl'):
        for kept in stage.fleet.directory.glob(pattern):
            shutil.copy(kept, directory)


async def _take_steps(scenario: Scenario, stage: Stage) -> list[str]:
    """Take the steps; the first one that fails ends the scenario."""
    for line in scenario.lines:
        _log.info('%s line %d: %s', scenario.name, line.number, line.step)
        try:
            await line.step.run(stage)
        except EndivetallyError as error:
            return [f'line {line.number}: {error}']
    return []
