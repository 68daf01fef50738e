"""Steps that check the operators' configuration."""

from dataclasses import dataclass

import msgspec
from endivetally_config.operator_config import VersionedConfig

from endivetally.scenarios.environment import Environment
from endivetally.scenarios.operators import ObservedVersion
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed
from endivetally.scenarios.wait_steps import WaitStep


@dataclass(frozen=True, slots=True)
class ExpectConfigOutcome(Step):
    """Expects the response to a configuration to accept it, or not to accept it."""

    label: str
    accepted: bool

    async def run(self, environment: Environment) -> None:
        """Check the response to the operator."""
        submission = environment.operators.find_submission(self.label)
        if bool(submission.version) is not self.accepted:
            raise StepFailed(
                f'configuration {self.label}: response status {submission.status}'
            )


@dataclass(frozen=True, slots=True)
class ExpectOneAccepted(Step):
    """Expects exactly one of several configurations to be accepted."""

    labels: tuple[str, ...]

    async def run(self, environment: Environment) -> None:
        """Count the accepted configurations."""
        statuses = [
            environment.operators.find_submission(label).status for label in self.labels
        ]
        if statuses.count(200) != 1:
            raise StepFailed(
                f'configurations {self.labels}: response statuses {statuses}'
            )


@dataclass(frozen=True, slots=True)
class ExpectConfigEverywhere(WaitStep):
    """Expects every running process to apply the newest configuration in time.

    The time of a process is measured from the acceptance, or from the end of its
    last downtime if that is later, to the first observation of the version.
    Entries must return exactly the accepted configuration.
    """

    seconds: float

    async def run(self, environment: Environment) -> None:
        """Wait until each process reports the version, then compare the times."""
        await WaitStep.run(self, environment)
        newest = _find_newest_label(environment)
        accepted_at_s = environment.operators.find_submission(newest).responded_at_s
        version = environment.operators.newest_version
        late = [
            f'{observed.process} after {observed.observed_at_s - accepted_at_s:.2f} s'
            for observed in _find_first_observations(environment, version)
            if observed.observed_at_s
            - max(accepted_at_s, _find_last_downtime_end(environment, observed.process))
            > self.seconds
        ]
        if late:
            raise StepFailed(
                f'configuration version {version} was applied late: {late}'
            )
        await _check_entries(environment, newest)

    async def is_met(self, environment: Environment) -> bool:
        """Return whether every running process was observed at the newest version."""
        version = environment.operators.newest_version
        seen = {
            (observed.process, observed.pid)
            for observed in environment.operators.observed_versions
            if observed.version >= version
        }
        running = {
            (process.name, process.pid)
            for process in (
                *environment.list_available_entries(),
                *environment.fleet.agents,
            )
        }
        return running <= seen


def _find_newest_label(environment: Environment) -> str:
    version = environment.operators.newest_version
    submissions = environment.operators.submissions
    return next(each.label for each in submissions if each.version == version)


def _find_first_observations(
    environment: Environment, version: int
) -> list[ObservedVersion]:
    first: dict[tuple[str, int], ObservedVersion] = {}
    for observed in environment.operators.observed_versions:
        if observed.version >= version:
            first.setdefault((observed.process, observed.pid), observed)
    return list(first.values())


def _find_last_downtime_end(environment: Environment, process: str) -> float:
    ends = [
        downtime.ended_at_s or 0
        for downtime in environment.downtimes
        if downtime.process == process
    ]
    return max(ends, default=0)


async def _check_entries(environment: Environment, label: str) -> None:
    expected = environment.operators.find_submission(label).config
    for entry in environment.list_available_entries():
        response = await environment.fleet.client.get(f'{entry.url}/v1/text')
        current = msgspec.json.decode(response.body, type=VersionedConfig)
        if current.config != expected:
            raise StepFailed(
                f'{entry.name} returned a configuration other than {label}'
            )
