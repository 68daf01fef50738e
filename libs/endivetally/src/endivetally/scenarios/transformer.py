"""Builds the steps of a scenario from its syntax tree."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Final

from lark import Token
from lark import Transformer
from lark import v_args

from endivetally.fleet.deployment import Deployment
from endivetally.load.responses import Verdict
from endivetally.scenarios import caller_steps
from endivetally.scenarios import config_expectations
from endivetally.scenarios import expectations
from endivetally.scenarios import fault_steps
from endivetally.scenarios import process_steps
from endivetally.scenarios import selectors
from endivetally.scenarios import wait_steps
from endivetally.scenarios.deployment import make_deployment
from endivetally.scenarios.steps import Selector
from endivetally.scenarios.steps import Step

PROCESS_STEPS: Final[Mapping[str, Callable[[Selector], Step]]] = {
    'start': process_steps.Start,
    'stop': process_steps.Stop,
    'kill': process_steps.Kill,
    'freeze': process_steps.Freeze,
    'thaw': process_steps.Thaw,
    'roll': process_steps.RollingRestart,
}


@v_args(inline=True)
class SelectorTransformer(Transformer[Token, Any]):
    """Builds tokens and selectors."""

    NAME = str
    INT = int
    NUMBER = float
    BOUND = str
    TOTAL = str
    SIGNAL = str
    OUTCOME = str

    def STRING(self, token: Token) -> str:
        """Strip the quotes."""
        return token[1:-1]

    def named(self, name: str) -> Selector:
        """Build a selector by name."""
        return selectors.NamedProcesses(name)

    def owner(self, key: str) -> Selector:
        """Build the selector of a key's owner."""
        return selectors.KeyOwner(key)

    def agent_of(self, key: str) -> Selector:
        """Build the selector of the agent where a key runs."""
        return selectors.ProcessRunningKey('agent', key)

    def target_of(self, key: str) -> Selector:
        """Build the selector of the target where a key runs."""
        return selectors.ProcessRunningKey('target', key)

    def except_entry(self, other: Selector) -> Selector:
        """Build the selector of another entry."""
        return selectors.OtherEntry(other)

    def whatever_ended(self) -> Selector:
        """Build the selector of processes that have ended."""
        return selectors.ExitedProcesses()

    def every(self, role: Token) -> Selector:
        """Build the selector of a role."""
        return selectors.AllOfRole(str(role))


@v_args(inline=True)
class ExpectationTransformer(SelectorTransformer):
    """Builds expectations."""

    def verdict(self, verdict: Token, code: str | None) -> expectations.AllowedOutcome:
        """Build an allowed answer."""
        return expectations.AllowedOutcome(Verdict(str(verdict)), code or '')

    def verdicts(self, label: str, *allowed: expectations.AllowedOutcome) -> Step:
        """Build the expectation of answers."""
        return expectations.ExpectOutcomes(label, allowed)

    def starts(self, label: str, bound: str, count: int) -> Step:
        """Build the expectation of starts."""
        return expectations.ExpectStarts(label, bound, count)

    def answered(self, label: str, seconds: float) -> Step:
        """Build the expectation of an answer's time."""
        return expectations.ExpectResponseTime(label, seconds)

    def no_new_work(self, selector: Selector, seconds: float) -> Step:
        """Build the expectation about targets that leave or are frozen."""
        return expectations.ExpectNoNewTasks(selector, seconds)

    def total(self, name: str, count: int) -> Step:
        """Build the expectation of a total."""
        return expectations.ExpectTotal(name, count)

    def text_outcome(self, label: str, outcome: str) -> Step:
        """Build the expectation of an operator's answer."""
        return config_expectations.ExpectConfigOutcome(label, outcome == 'accepted')

    def one_text(self, *labels: str) -> Step:
        """Build the expectation that one operator wins."""
        return config_expectations.ExpectOneAccepted(labels)

    def text_everywhere(self, seconds: float) -> Step:
        """Build the expectation of the newest text."""
        return config_expectations.ExpectConfigEverywhere(seconds)


@v_args(inline=True)
class FaultTransformer(ExpectationTransformer):
    """Builds steps of processes, links, the platform and targets."""

    def let(self, name: str, selector: Selector) -> Step:
        """Build the naming of processes."""
        return process_steps.DefineName(name, selector)

    def signal(self, name: str, selector: Selector) -> Step:
        """Build a step of processes."""
        return PROCESS_STEPS[name](selector)

    def cut(self, left: Selector, right: Selector) -> Step:
        """Build a cut."""
        return fault_steps.ShapeLinks(left, right, {'cut': True})

    def mend(self, left: Selector, right: Selector) -> Step:
        """Build the end of shaping."""
        return fault_steps.ClearRules(left, right)

    def delay(self, left: Selector, right: Selector, delay_ms: int) -> Step:
        """Build a delay."""
        return fault_steps.ShapeLinks(left, right, {'delay_ms': delay_ms})

    def reorder(self, left: Selector, right: Selector, jitter_ms: int) -> Step:
        """Build a jitter that reorders."""
        return fault_steps.ShapeLinks(left, right, {'jitter_ms': jitter_ms})

    def duplicate(self, left: Selector, right: Selector) -> Step:
        """Build duplication."""
        return fault_steps.ShapeLinks(left, right, {'duplicate': True})

    def table_down(self) -> Step:
        """Build an outage."""
        return fault_steps.SetTableFaults({'down': True})

    def table_up(self) -> Step:
        """Build the end of the table's faults."""
        return fault_steps.SetTableFaults({})

    def table_slow(self, slow_ms: int) -> Step:
        """Build a slow table."""
        return fault_steps.SetTableFaults({'slow_ms': slow_ms})

    def table_loses(self, count: int) -> Step:
        """Build lost answers of the table."""
        return fault_steps.SetTableFaults({'lose_answers': count})

    def fault(self, selector: Selector, faults: dict[str, Any]) -> Step:
        """Build faults of targets."""
        return fault_steps.SetTargetFaults(selector, faults)

    def fails(self) -> dict[str, Any]:
        """Build the fault of a target that fails all."""
        return {'fail_all': True}

    def slow(self, factor: int) -> dict[str, Any]:
        """Build the fault of a straggler."""
        return {'slow_factor': factor}

    def hangs(self) -> dict[str, Any]:
        """Build the fault of a target that hangs."""
        return {'hang': True}

    def normal(self) -> dict[str, Any]:
        """Build the end of a target's faults."""
        return {}


@v_args(inline=True)
class ScenarioTransformer(FaultTransformer):
    """Builds a scenario."""

    def title(self, name: str) -> str:
        """Return the name."""
        return name

    def promise(self, promise: int | Token) -> int:
        """Return the number of the promise; 0 for liveness."""
        return promise if isinstance(promise, int) else 0

    def workers(self, service: str, count: int) -> tuple[str, int]:
        """Return the workers of one service."""
        return service, count

    def fleet(
        self,
        entries: int,
        data_centres: int,
        *worker_counts: tuple[str, int],
    ) -> Deployment:
        """Build the deployment."""
        return make_deployment(entries, data_centres, worker_counts)

    @v_args(meta=True, inline=True)
    def step(self, meta: Any, step: Step) -> tuple[int, Step]:
        """Return a step with its line."""
        return meta.line, step

    def expectation(self, step: Step) -> Step:
        """Return an expectation."""
        return step

    def requests(self, count: int | None) -> int | None:
        """Return how many requests are sent."""
        return count

    def tasks(self, count: int | None, run_ms: int) -> caller_steps.TaskSpec:
        """Build the tasks of a request."""
        return caller_steps.TaskSpec(count or 1, run_ms)

    def via(self, selector: Selector) -> Selector:
        """Return the entries that receive a request."""
        return selector

    def submit(
        self,
        count: int | None,
        label: str,
        service: str,
        tasks: caller_steps.TaskSpec,
        via: Selector | None = None,
    ) -> Step:
        """Build a submission."""
        return caller_steps.Submit(count, label, service, tasks, via)

    def resubmit(self, label: str, new_label: str, via: Selector) -> Step:
        """Build a resubmission."""
        return caller_steps.Resubmit(label, new_label, via)

    def cancel(self, label: str, via: Selector) -> Step:
        """Build a cancellation."""
        return caller_steps.Cancel(label, via)

    def load(
        self,
        label: str,
        service: str,
        per_s: int,
        seconds: int,
        tasks: caller_steps.TaskSpec,
    ) -> Step:
        """Build a load."""
        return caller_steps.Load(label, service, per_s, seconds, tasks)

    def submit_text(self, label: str, via: Selector) -> Step:
        """Build an operator's submission."""
        return caller_steps.SubmitConfigs(((label, via),))

    def race_texts(
        self,
        first: str,
        second: str,
        first_via: Selector,
        second_via: Selector,
    ) -> Step:
        """Build two operators' submissions at once."""
        return caller_steps.SubmitConfigs(((first, first_via), (second, second_via)))

    def wait_starts(self, count: int, label: str) -> Step:
        """Build a wait for starts."""
        return wait_steps.WaitStarts(count, label)

    def wait_answers(self, label: str) -> Step:
        """Build a wait for answers."""
        return wait_steps.WaitResponses(label)

    def wait_owner(self, key: str, former: Selector) -> Step:
        """Build a wait for a takeover."""
        return wait_steps.WaitNewOwner(key, former)

    def wait_exit(self, selector: Selector) -> Step:
        """Build a wait for the end of processes."""
        return wait_steps.WaitExit(selector)

    def wait_ready(self) -> Step:
        """Build a wait for the whole fleet."""
        return wait_steps.WaitReady()

    def pause(self, seconds: float) -> Step:
        """Build a pause."""
        return wait_steps.Pause(seconds)
