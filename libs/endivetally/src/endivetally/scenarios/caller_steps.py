"""Steps of callers and operators."""

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

from endivetally.load.mix import Arrival
from endivetally.scenarios.environment import Environment
from endivetally.scenarios.selectors import select_one
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step
from endivetally.scenarios.steps import StepFailed

_HTTP_ACCEPTED = 202


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """Tasks of a request.

    :param count: how many; single requests have one.
    """

    count: int
    run_ms: int

    def make_arrival(
        self, environment: Environment, service: str, key: str, at_s: float = 0
    ) -> Arrival:
        """Return a request with these tasks."""
        kind = environment.find_service_kind(service)
        run_ms = [self.run_ms for _ in range(self.count)]
        return Arrival(at_s, service, kind, key, run_ms)


@dataclass(frozen=True, slots=True)
class Submit(Step):
    """Submits one request, or several with numbered keys.

    :param count: number of requests; ``None`` sends one whose key is the label.
    :param via: which entries receive them in turn; all by default.
    """

    count: int | None
    label: str
    service: str
    tasks: TaskSpec
    via: Selector | None

    async def run(self, environment: Environment) -> None:
        """Send all at once."""
        entries = await self._entries(environment)
        for key, entry in zip(self._keys(), itertools.cycle(entries), strict=False):
            arrival = self.tasks.make_arrival(environment, self.service, key)
            environment.callers.submit(self.label, arrival, entry)

    def _keys(self) -> Iterator[str]:
        if self.count is None:
            yield self.label
            return
        for number in range(1, self.count + 1):
            yield f'{self.label}-{number}'

    async def _entries(self, environment: Environment) -> list[str]:
        if self.via is None:
            return [entry.name for entry in environment.list_available_entries()]
        return await self.via.select(environment)


@dataclass(frozen=True, slots=True)
class Resubmit(Step):
    """Submits the requests of a label again, under a new label."""

    label: str
    new_label: str
    via: Selector

    async def run(self, environment: Environment) -> None:
        """Send all at once."""
        entries = await self.via.select(environment)
        arrivals = {
            submission.key: submission.arrival
            for submission in environment.callers.find_submissions(self.label)
        }
        pairs = zip(arrivals.values(), itertools.cycle(entries), strict=False)
        for arrival, entry in pairs:
            environment.callers.submit(self.new_label, arrival, entry)


@dataclass(frozen=True, slots=True)
class Cancel(Step):
    """Cancels the requests of a label."""

    label: str
    via: Selector

    async def run(self, environment: Environment) -> None:
        """Cancel one after another."""
        entry = await select_one(self.via, environment)
        for submission in environment.callers.find_submissions(self.label):
            status = await environment.callers.cancel(submission.arrival, entry)
            if status != _HTTP_ACCEPTED:
                raise StepFailed(f'cancelling {submission.key} answered {status}')


@dataclass(frozen=True, slots=True)
class Load(Step):
    """Sends requests at a steady rate in the background, through a balancer."""

    label: str
    service: str
    per_s: int
    seconds: int
    tasks: TaskSpec

    async def run(self, environment: Environment) -> None:
        """Start the load."""
        arrivals = [
            self.tasks.make_arrival(
                environment,
                self.service,
                f'{self.label}-{number + 1}',
                number / self.per_s,
            )
            for number in range(self.per_s * self.seconds)
        ]
        environment.callers.start_load(self.label, arrivals)


@dataclass(frozen=True, slots=True)
class SubmitConfigs(Step):
    """Submits texts at once, each by an operator of its own.

    :param submissions: label of each text and the entry that receives it.
    """

    submissions: tuple[tuple[str, Selector], ...]

    async def run(self, environment: Environment) -> None:
        """Submit all on the newest version and wait for the answers."""
        based_on = environment.operators.newest_version
        entries = [
            (label, await select_one(via, environment))
            for label, via in self.submissions
        ]
        async with asyncio.TaskGroup() as group:
            for label, entry in entries:
                group.create_task(environment.operators.submit(label, entry, based_on))
