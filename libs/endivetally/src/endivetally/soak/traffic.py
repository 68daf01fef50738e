"""Simulated callers, which send jobs at random times and retry them."""

import asyncio
import random
from typing import Final
from typing import Self

from endivetally_platform.standins import CallResult
from endivetally_platform.standins import EntryClient
from endivetally_platform.standins import JobSpec
from endivetally_policy.held import Resources

from endivetally.soak.deployment import Machine
from endivetally.soak.deployment import SoakDeployment
from endivetally.soak.guarantees import Call
from endivetally.soak.guarantees import GuaranteeChecker
from endivetally.soak.guarantees import get_loop_time

# Kinds of jobs as in the users' specification: service, largest number of tasks,
# typical seconds for each task, share of all jobs.
JOB_KINDS: Final = (
    ('lookup', 8, 0.12, 0.25),
    ('sweep', 4, 1.8, 0.05),
    ('fetch', 2, 0.4, 0.7),
)
# Standard deviation of the logarithm of declared over actual run time, as in the
# users' specification.
ESTIMATE_LOG_STD: Final = 0.4
TASK_RESOURCES: Final = Resources(1600, 64)
DEADLINE_S: Final = 6.0
# How long after the deadline a caller waits: on a busy machine, a response that was
# sent in time arrives late.
RESPONSE_MARGIN_S: Final = 4.0
# A caller sends a job again after this delay while its outcome is unknown, up to the
# number of calls below.
RETRY_DELAY_S: Final = 1.3
MAX_CALLS: Final = 3
# Share of the jobs whose caller closes the connection before the response, and the
# range of times after which it does so.
ABANDONING_SHARE: Final = 0.05
ABANDON_AFTER_RANGE_S: Final = (0.02, 0.8)
# Share of the jobs whose tasks fail at every target.
FAILING_SHARE: Final = 0.02
# One in so many jobs has a task that crashes its targets.
CRASHING_INTERVAL: Final = 150
# Share of the jobs whose request is sent once more after its response, and how many
# seconds later.
DUPLICATED_SHARE: Final = 0.03
DUPLICATE_DELAY_S: Final = 2.0


class JobTraffic:
    """Sends random jobs while its context is open.

    ``calls`` lists the calls that have ended.

    :param jobs_per_s: mean rate of new jobs.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        checker: GuaranteeChecker,
        rng: random.Random,
        jobs_per_s: float,
    ) -> None:
        self.calls: list[Call] = []
        self._deployment = deployment
        self._checker = checker
        self._rng = rng
        self._jobs_per_s = jobs_per_s
        self._open_jobs: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Start to send jobs."""
        self._generator = asyncio.ensure_future(self._generate_jobs())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Start no more jobs, and wait for the responses to the open ones."""
        self._generator.cancel()
        while self._open_jobs:
            await asyncio.wait(self._open_jobs)

    async def _generate_jobs(self) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(self._jobs_per_s))
            job = self._create_random_job()
            self._deployment.register_job(job)
            self._start_job(job)

    def _start_job(self, job: JobSpec) -> None:
        task = asyncio.ensure_future(self._send_job(job))
        self._open_jobs.add(task)
        task.add_done_callback(self._open_jobs.discard)

    def _create_random_job(self) -> JobSpec:
        shares = [kind[-1] for kind in JOB_KINDS]
        drawn = self._rng.choices(JOB_KINDS, shares)
        service, max_tasks, typical_s, _ = drawn[0]
        run_time_s = typical_s * self._rng.uniform(0.7, 1.4)
        identifier = self._rng.getrandbits(64)
        return JobSpec(
            identifier=f'{identifier:016x}',
            service=service,
            task_count=self._rng.randint(1, max_tasks),
            task_resources=TASK_RESOURCES,
            run_time_s=run_time_s,
            estimate_s=run_time_s * self._rng.lognormvariate(0, ESTIMATE_LOG_STD),
            deadline_s=DEADLINE_S,
            tasks_fail=self._rng.random() < FAILING_SHARE,
            # Not drawn, so that the jobs remain those of the seed.
            crashes_targets=identifier % CRASHING_INTERVAL == 0,
        )

    async def _send_job(self, job: JobSpec) -> None:
        """Send a job, and retry it while its outcome is unknown."""
        abandons = self._rng.random() < ABANDONING_SHARE
        for _ in range(MAX_CALLS):
            call = await self._call_entry(job, abandons=abandons)
            unknown = call.outcome.result in {CallResult.UNKNOWN, CallResult.UNANSWERED}
            if call.abandoned:
                return
            if not unknown:
                break
            await asyncio.sleep(RETRY_DELAY_S)
        if self._rng.random() < DUPLICATED_SHARE:
            await asyncio.sleep(DUPLICATE_DELAY_S)
            await self._call_entry(job, abandons=False)

    async def _call_entry(self, job: JobSpec, *, abandons: bool) -> Call:
        machine = self._rng.choice(self._deployment.entries)
        timeout_s = job.deadline_s + RESPONSE_MARGIN_S
        if abandons:
            timeout_s = self._rng.uniform(*ABANDON_AFTER_RANGE_S)
        sent_at = get_loop_time()
        outcome = await _get_entry_client(machine).submit(job, timeout_s)
        abandoned = abandons and outcome.result is CallResult.UNANSWERED
        call = Call(job, machine, sent_at, get_loop_time(), outcome, abandoned)
        self.calls.append(call)
        self._checker.check_call(call)
        return call


def _get_entry_client(machine: Machine) -> EntryClient:
    if machine.entry_client is None:
        raise ValueError(f'{machine.name} is not an entry')
    return machine.entry_client
