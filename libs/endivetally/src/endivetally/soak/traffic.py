"""Callers of a soak: jobs at random moments, sent again as real callers do."""

import asyncio
import random
from typing import Final
from typing import Self

from endivetally_platform.standins import CallResult
from endivetally_platform.standins import EntryClient
from endivetally_platform.standins import JobSpec
from endivetally_policy.held import Resources

from endivetally.soak.deployment import Machine
from endivetally.soak.deployment import Stage
from endivetally.soak.guarantees import Call
from endivetally.soak.guarantees import Promises
from endivetally.soak.guarantees import steady_now

# Kinds of request as on the users' sheets: tasks, seconds each, share of all.
KINDS: Final = (
    ('lookup', 8, 0.12, 0.25),
    ('sweep', 4, 1.8, 0.05),
    ('fetch', 2, 0.4, 0.7),
)
# Declared times are off by this spread of their logarithms, as on the sheets.
DECLARED_SPREAD: Final = 0.4
NEED: Final = Resources(1600, 64)
DEADLINE_S: Final = 6.0
# An answer that is due takes its time on a busy machine.
ANSWER_MARGIN_S: Final = 4.0
RETRANSMIT_S: Final = 1.3
ATTEMPTS: Final = 3
LEAVING_SHARE: Final = 0.05
LEAVES_AFTER_S: Final = (0.02, 0.8)
FAILING_SHARE: Final = 0.02
# A copy of a request arrives seconds after its answer.
COPIED_SHARE: Final = 0.03
COPIED_AFTER_S: Final = 2.0


class Traffic:
    """Sends jobs as long as it is open.

    :param rate: jobs a second.
    """

    def __init__(
        self, stage: Stage, promises: Promises, rng: random.Random, rate: float
    ) -> None:
        self.calls: list[Call] = []
        self._stage = stage
        self._promises = promises
        self._random = rng
        self._rate = rate
        self._open: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Begin to send jobs."""
        self._sending = asyncio.ensure_future(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Send no more, and wait for the answers of all open calls."""
        self._sending.cancel()
        while self._open:
            await asyncio.wait(self._open)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(self._rate))
            plan = self._plan()
            self._stage.note_plan(plan)
            self._spawn(plan)

    def _spawn(self, plan: JobSpec) -> None:
        task = asyncio.ensure_future(self._send(plan))
        self._open.add(task)
        task.add_done_callback(self._open.discard)

    def _plan(self) -> JobSpec:
        shares = [kind[-1] for kind in KINDS]
        drawn = self._random.choices(KINDS, shares)
        service, count, run_s, _ = drawn[0]
        true_s = run_s * self._random.uniform(0.7, 1.4)
        return JobSpec(
            identifier=f'{self._random.getrandbits(64):016x}',
            service=service,
            task_count=self._random.randint(1, count),
            task_resources=NEED,
            run_time_s=true_s,
            estimate_s=true_s * self._random.lognormvariate(0, DECLARED_SPREAD),
            deadline_s=DEADLINE_S,
            tasks_fail=self._random.random() < FAILING_SHARE,
        )

    async def _send(self, plan: JobSpec) -> None:
        """Send a job, and send it again when its fate is unknown."""
        leaves = self._random.random() < LEAVING_SHARE
        for _ in range(ATTEMPTS):
            call = await self._call(plan, leaves=leaves)
            unknown = call.outcome.result in {CallResult.UNKNOWN, CallResult.UNANSWERED}
            if call.left:
                return
            if not unknown:
                break
            await asyncio.sleep(RETRANSMIT_S)
        if self._random.random() < COPIED_SHARE:
            await asyncio.sleep(COPIED_AFTER_S)
            await self._call(plan, leaves=False)

    async def _call(self, plan: JobSpec, *, leaves: bool) -> Call:
        machine = self._random.choice(self._stage.entries)
        limit_s = plan.deadline_s + ANSWER_MARGIN_S
        if leaves:
            limit_s = self._random.uniform(*LEAVES_AFTER_S)
        sent_at = steady_now()
        outcome = await _calls_of(machine).submit(plan, limit_s)
        left = leaves and outcome.result is CallResult.UNANSWERED
        call = Call(plan, machine, sent_at, steady_now(), outcome, left)
        self.calls.append(call)
        self._promises.judge(call)
        return call


def _calls_of(machine: Machine) -> EntryClient:
    if machine.calls is None:
        raise ValueError(f'{machine.name} takes no calls')
    return machine.calls
