"""Transforms the syntax tree of a scenario into its steps."""

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
    """Transforms tokens and selectors; methods are named after grammar rules."""

    NAME = str
    INT = int
    NUMBER = float
    BOUND = str
    TOTAL = str
    SIGNAL = str
    OUTCOME = str

    def STRING(self, token: Token) -> str:
        """Remove the quotes."""
        return token[1:-1]

    def named(self, name: str) -> Selector:
        """Build a selector of named processes."""
        return selectors.NamedProcesses(name)

    def owner(self, key: str) -> Selector:
        """Build a selector of the entry that owns a key."""
        return selectors.KeyOwner(key)

    def agent_of(self, key: str) -> Selector:
        """Build a selector of the agent that runs tasks of a key."""
        return selectors.ProcessRunningKey('agent', key)

    def target_of(self, key: str) -> Selector:
        """Build a selector of the target that runs tasks of a key."""
        return selectors.ProcessRunningKey('target', key)

    def except_entry(self, other: Selector) -> Selector:
        """Build a selector of an entry that another selector does not match."""
        return selectors.OtherEntry(other)

    def whatever_ended(self) -> Selector:
        """Build a selector of processes that have exited."""
        return selectors.ExitedProcesses()

    def every(self, role: Token) -> Selector:
        """Build a selector of all processes of a role."""
        return selectors.AllOfRole(str(role))


@v_args(inline=True)
class ExpectationTransformer(SelectorTransformer):
    """Transforms expectations."""

    def verdict(self, verdict: Token, code: str | None) -> expectations.AllowedOutcome:
        """Build an allowed outcome of a request."""
        return expectations.AllowedOutcome(Verdict(str(verdict)), code or '')

    def verdicts(self, label: str, *allowed: expectations.AllowedOutcome) -> Step:
        """Build the expectation of the outcomes of requests."""
        return expectations.ExpectOutcomes(label, allowed)

    def starts(self, label: str, bound: str, count: int) -> Step:
        """Build the expectation of a number of starts."""
        return expectations.ExpectStarts(label, bound, count)

    def answered(self, label: str, seconds: float) -> Step:
        """Build the expectation of a response time."""
        return expectations.ExpectResponseTime(label, seconds)

    def no_new_work(self, selector: Selector, seconds: float) -> Step:
        """Build the expectation for targets that are stopped or frozen."""
        return expectations.ExpectNoNewTasks(selector, seconds)

    def total(self, name: str, count: int) -> Step:
        """Build the expectation of a total."""
        return expectations.ExpectTotal(name, count)

    def text_outcome(self, label: str, outcome: str) -> Step:
        """Build the expectation of the response to an operator."""
        return config_expectations.ExpectConfigOutcome(label, outcome == 'accepted')

    def one_text(self, *labels: str) -> Step:
        """Build the expectation that exactly one configuration is accepted."""
        return config_expectations.ExpectOneAccepted(labels)

    def text_everywhere(self, seconds: float) -> Step:
        """Build the expectation that the newest configuration is applied."""
        return config_expectations.ExpectConfigEverywhere(seconds)


@v_args(inline=True)
class FaultTransformer(ExpectationTransformer):
    """Transforms steps on processes, links, the table service and targets."""

    def let(self, name: str, selector: Selector) -> Step:
        """Build the definition of a name for processes."""
        return process_steps.DefineName(name, selector)

    def signal(self, name: str, selector: Selector) -> Step:
        """Build a step that signals or starts processes."""
        return PROCESS_STEPS[name](selector)

    def cut(self, left: Selector, right: Selector) -> Step:
        """Build a network partition between two groups of processes."""
        return fault_steps.ShapeLinks(left, right, {'cut': True})

    def mend(self, left: Selector, right: Selector) -> Step:
        """Build the removal of shaping rules."""
        return fault_steps.ClearRules(left, right)

    def delay(self, left: Selector, right: Selector, delay_ms: int) -> Step:
        """Build a delay of frames."""
        return fault_steps.ShapeLinks(left, right, {'delay_ms': delay_ms})

    def reorder(self, left: Selector, right: Selector, jitter_ms: int) -> Step:
        """Build a random delay that reorders frames."""
        return fault_steps.ShapeLinks(left, right, {'jitter_ms': jitter_ms})

    def duplicate(self, left: Selector, right: Selector) -> Step:
        """Build the duplication of frames."""
        return fault_steps.ShapeLinks(left, right, {'duplicate': True})

    def table_down(self) -> Step:
        """Build an outage of the table service."""
        return fault_steps.SetTableFaults({'down': True})

    def table_up(self) -> Step:
        """Build the end of all faults of the table service."""
        return fault_steps.SetTableFaults({})

    def table_slow(self, slow_ms: int) -> Step:
        """Build slow responses of the table service."""
        return fault_steps.SetTableFaults({'slow_ms': slow_ms})

    def table_loses(self, count: int) -> Step:
        """Build lost responses of the table service."""
        return fault_steps.SetTableFaults({'lose_answers': count})

    def fault(self, selector: Selector, faults: dict[str, Any]) -> Step:
        """Build faults of targets."""
        return fault_steps.SetTargetFaults(selector, faults)

    def fails(self) -> dict[str, Any]:
        """Build the fault of a target that fails every task."""
        return {'fail_all': True}

    def slow(self, factor: int) -> dict[str, Any]:
        """Build the fault of a slow target."""
        return {'slow_factor': factor}

    def hangs(self) -> dict[str, Any]:
        """Build the fault of a target that hangs."""
        return {'hang': True}

    def normal(self) -> dict[str, Any]:
        """Build the end of all faults of a target."""
        return {}


@v_args(inline=True)
class ScenarioTransformer(FaultTransformer):
    """Transforms a whole scenario."""

    def title(self, name: str) -> str:
        """Return the name of the scenario."""
        return name

    def promise(self, promise: int | Token) -> int:
        """Return the number of the promise; 0 for liveness."""
        return promise if isinstance(promise, int) else 0

    def workers(self, service: str, count: int) -> tuple[str, int]:
        """Return the name of a service and its number of workers."""
        return service, count

    def fleet(
        self,
        entries: int,
        data_centres: int,
        *worker_counts: tuple[str, int],
    ) -> Deployment:
        """Build the deployment of the scenario."""
        return make_deployment(entries, data_centres, worker_counts)

    @v_args(meta=True, inline=True)
    def step(self, meta: Any, step: Step) -> tuple[int, Step]:
        """Return a step with its line number."""
        return meta.line, step

    def expectation(self, step: Step) -> Step:
        """Return the step of an expectation."""
        return step

    def requests(self, count: int | None) -> int | None:
        """Return the number of requests to send."""
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
        """Build the submission of requests."""
        return caller_steps.Submit(count, label, service, tasks, via)

    def resubmit(self, label: str, new_label: str, via: Selector) -> Step:
        """Build the resubmission of requests."""
        return caller_steps.Resubmit(label, new_label, via)

    def cancel(self, label: str, via: Selector) -> Step:
        """Build the cancellation of jobs."""
        return caller_steps.Cancel(label, via)

    def load(
        self,
        label: str,
        service: str,
        per_s: int,
        seconds: int,
        tasks: caller_steps.TaskSpec,
    ) -> Step:
        """Build a constant load in the background."""
        return caller_steps.Load(label, service, per_s, seconds, tasks)

    def submit_text(self, label: str, via: Selector) -> Step:
        """Build the submission of a configuration."""
        return caller_steps.SubmitConfigs(((label, via),))

    def race_texts(
        self,
        first: str,
        second: str,
        first_via: Selector,
        second_via: Selector,
    ) -> Step:
        """Build concurrent submissions by two operators."""
        return caller_steps.SubmitConfigs(((first, first_via), (second, second_via)))

    def wait_starts(self, count: int, label: str) -> Step:
        """Build a wait for a number of starts."""
        return wait_steps.WaitStarts(count, label)

    def wait_answers(self, label: str) -> Step:
        """Build a wait for all responses of a label."""
        return wait_steps.WaitResponses(label)

    def wait_owner(self, key: str, former: Selector) -> Step:
        """Build a wait for a new owner of a key."""
        return wait_steps.WaitNewOwner(key, former)

    def wait_exit(self, selector: Selector) -> Step:
        """Build a wait for the exit of processes."""
        return wait_steps.WaitExit(selector)

    def wait_ready(self) -> Step:
        """Build a wait until the fleet is ready."""
        return wait_steps.WaitReady()

    def pause(self, seconds: float) -> Step:
        """Build a wait for a fixed time."""
        return wait_steps.Pause(seconds)
