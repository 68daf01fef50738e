"""Steps that submit or cancel requests and submit configurations."""

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
    """Number and run time of the tasks in a request.

    :param count: number of tasks; 1 for a request that is not a job.
    :param run_ms: run time of each task, in milliseconds.
    """

    count: int
    run_ms: int

    def make_arrival(
        self, environment: Environment, service: str, key: str, at_s: float = 0
    ) -> Arrival:
        """Return a request that consists of these tasks.

        :param at_s: time of the request after the start of the load, in seconds.
        """
        kind = environment.find_service_kind(service)
        run_ms = [self.run_ms for _ in range(self.count)]
        return Arrival(at_s, service, kind, key, run_ms)


@dataclass(frozen=True, slots=True)
class Submit(Step):
    """Submits one request, or several with numbered keys.

    :param count: number of requests; ``None`` sends one whose key is the label.
    :param via: entries that receive the requests in turn; all by default.
    """

    count: int | None
    label: str
    service: str
    tasks: TaskSpec
    via: Selector | None

    async def run(self, environment: Environment) -> None:
        """Send all requests at once."""
        entries = await self._select_entries(environment)
        for key, entry in zip(
            self._generate_keys(), itertools.cycle(entries), strict=False
        ):
            arrival = self.tasks.make_arrival(environment, self.service, key)
            environment.callers.submit_request(self.label, arrival, entry)

    def _generate_keys(self) -> Iterator[str]:
        if self.count is None:
            yield self.label
            return
        for number in range(1, self.count + 1):
            yield f'{self.label}-{number}'

    async def _select_entries(self, environment: Environment) -> list[str]:
        if self.via is None:
            return [entry.name for entry in environment.list_available_entries()]
        return await self.via.select(environment)


@dataclass(frozen=True, slots=True)
class Resubmit(Step):
    """Submits the requests of a label again with their keys, under a new label."""

    label: str
    new_label: str
    via: Selector

    async def run(self, environment: Environment) -> None:
        """Send all requests at once."""
        entries = await self.via.select(environment)
        arrivals = {
            submission.key: submission.arrival
            for submission in environment.callers.find_submissions(self.label)
        }
        pairs = zip(arrivals.values(), itertools.cycle(entries), strict=False)
        for arrival, entry in pairs:
            environment.callers.submit_request(self.new_label, arrival, entry)


@dataclass(frozen=True, slots=True)
class Cancel(Step):
    """Cancels the jobs of a label."""

    label: str
    via: Selector

    async def run(self, environment: Environment) -> None:
        """Cancel one job after another."""
        entry = await select_one(self.via, environment)
        for submission in environment.callers.find_submissions(self.label):
            status = await environment.callers.cancel_job(submission.arrival, entry)
            if status != _HTTP_ACCEPTED:
                raise StepFailed(
                    f'cancelling job {submission.key}: response status {status}'
                )


@dataclass(frozen=True, slots=True)
class Load(Step):
    """Sends requests at a constant rate in the background, through a load balancer.

    :param per_s: number of requests per second.
    :param seconds: for how long requests are sent.
    """

    label: str
    service: str
    per_s: int
    seconds: int
    tasks: TaskSpec

    async def run(self, environment: Environment) -> None:
        """Start to send the requests."""
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
    """Submits configurations concurrently, each by a different operator.

    :param submissions: label of each configuration and the entry it is sent to.
    """

    submissions: tuple[tuple[str, Selector], ...]

    async def run(self, environment: Environment) -> None:
        """Submit all, based on the newest version, and wait for the responses."""
        based_on = environment.operators.newest_version
        entries = [
            (label, await select_one(via, environment))
            for label, via in self.submissions
        ]
        async with asyncio.TaskGroup() as group:
            for label, entry in entries:
                group.create_task(
                    environment.operators.submit_config(label, entry, based_on)
                )
