"""Steps that check the operators' text."""

from dataclasses import dataclass

import msgspec
from endivetally_config.operator_config import VersionedConfig

from endivetally.scenarios.stage import Stage
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed
from endivetally.scenarios.texts import Sighting
from endivetally.scenarios.wait_steps import WaitStep


@dataclass(frozen=True, slots=True)
class ExpectText(Step):
    """Whether an operator was told that a text is in force."""

    label: str
    accepted: bool

    async def run(self, stage: Stage) -> None:
        """Check the answer."""
        submission = stage.operators.find(self.label)
        if bool(submission.version) is not self.accepted:
            raise StepFailed(f'text {self.label} answered {submission.status}')


@dataclass(frozen=True, slots=True)
class ExpectOneText(Step):
    """Exactly one of several texts was accepted."""

    labels: tuple[str, ...]

    async def run(self, stage: Stage) -> None:
        """Count the accepted ones."""
        statuses = [stage.operators.find(label).status for label in self.labels]
        if statuses.count(200) != 1:
            raise StepFailed(f'texts {self.labels} answered {statuses}')


@dataclass(frozen=True, slots=True)
class ExpectTextEverywhere(WaitStep):
    """The newest accepted text is in force at every running process in time.

    Counted for each process from the acceptance to the first look that saw it,
    or to its start when it started later. Entries must return the very text.
    """

    seconds: float

    async def run(self, stage: Stage) -> None:
        """Wait until each has been seen with it, then compare times."""
        await WaitStep.run(self, stage)
        newest = _newest(stage)
        accepted_s = stage.operators.find(newest).answered_s
        version = stage.operators.newest_version
        late = [
            f'{sighting.process} after {sighting.seen_s - accepted_s:.2f} s'
            for sighting in _first_with(stage, version)
            if sighting.seen_s - max(accepted_s, _back_since(stage, sighting.process))
            > self.seconds
        ]
        if late:
            raise StepFailed(f'version {version} in force late: {late}')
        await _check_content(stage, newest)

    async def holds(self, stage: Stage) -> bool:
        """Return whether every running process has the newest version."""
        version = stage.operators.newest_version
        seen = {
            (sighting.process, sighting.pid)
            for sighting in stage.operators.sightings
            if sighting.version >= version
        }
        running = {
            (process.name, process.pid)
            for process in (*stage.running_entries(), *stage.fleet.agents)
        }
        return running <= seen


def _newest(stage: Stage) -> str:
    version = stage.operators.newest_version
    submissions = stage.operators.submissions
    return next(each.label for each in submissions if each.version == version)


def _first_with(stage: Stage, version: int) -> list[Sighting]:
    first: dict[tuple[str, int], Sighting] = {}
    for sighting in stage.operators.sightings:
        if sighting.version >= version:
            first.setdefault((sighting.process, sighting.pid), sighting)
    return list(first.values())


def _back_since(stage: Stage, process: str) -> float:
    ends = [
        absence.ended_s or 0 for absence in stage.absences if absence.process == process
    ]
    return max(ends, default=0)


async def _check_content(stage: Stage, label: str) -> None:
    expected = stage.operators.find(label).text
    for entry in stage.running_entries():
        response = await stage.fleet.client.get(f'{entry.url}/v1/text')
        current = msgspec.json.decode(response.body, type=VersionedConfig)
        if current.config != expected:
            raise StepFailed(f'{entry.name} has another text than {label}')
