"""Refusals with their kinds of error, and goodput under overload."""

import pytest
from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_config.operator_config import Team
from endivetally_core.errors import ErrorKind
from endivetally_core.errors import ExecutionState
from endivetally_core.errors import RequestError
from endivetally_policy.admission import AdmissionController
from endivetally_policy.admission import AdmissionSettings
from endivetally_policy.admission import find_dependencies
from endivetally_policy.estimates import RunTimeEstimates
from endivetally_policy.quotas import TeamQuotas
from endivetally_policy.scheduling import CreditScheduler
from policy.builders import SERVICE
from policy.builders import identity
from policy.builders import join
from policy.builders import task
from policy.simulation import Simulation

IDEMPOTENT = ServiceKind.IDEMPOTENT
CONFIG = OperatorConfig(
    services=(
        Service(SERVICE, IDEMPOTENT),
        Service('front', IDEMPOTENT, depends_on=('middle',)),
        Service('middle', IDEMPOTENT, depends_on=('store',)),
        Service('store', IDEMPOTENT),
        Service('empty', IDEMPOTENT),
        Service('huge', IDEMPOTENT, memory_mb=40_000),
        Service('sweep', ServiceKind.JOB),
    ),
    teams=(Team('a', 'token-a', tasks_per_s=2000), Team('b', 'token-b')),
)


def make_controller(missing=(), max_waiting=50_000):
    scheduler = CreditScheduler('dc1')
    for number, service in enumerate((SERVICE, 'front', 'middle', 'store', 'sweep')):
        if service not in missing:
            scheduler.add_agent(identity(number, service=service), 0)
    controller = AdmissionController(
        scheduler,
        scheduler.estimates,
        TeamQuotas(),
        AdmissionSettings(max_waiting),
    )
    controller.apply_config(CONFIG, 0)
    return controller, scheduler


def refusal(controller, team='a', service=SERVICE, tasks=1, deadline=10.0, now=0.0):
    with pytest.raises(RequestError) as caught:
        controller.admit(team, service, tasks, deadline, now)
    assert caught.value.execution_state is ExecutionState.NOT_RUN
    return caught.value


class TestRefusals:
    @pytest.mark.parametrize(
        ('fields', 'kind'),
        [
            ({'service': 'nobody'}, ErrorKind.UNKNOWN_SERVICE),
            ({'service': 'sweep', 'tasks': 0}, ErrorKind.INVALID_JOB_SIZE),
            ({'service': 'sweep', 'tasks': 1801}, ErrorKind.INVALID_JOB_SIZE),
            ({'service': 'huge'}, ErrorKind.CANNOT_RUN),
            ({'deadline': 0.0}, ErrorKind.DEADLINE_PASSED),
            ({'deadline': -5.0}, ErrorKind.DEADLINE_PASSED),
            ({'service': 'empty'}, ErrorKind.NO_TARGET),
        ],
    )
    def test_refusal_has_its_kind_of_error(self, fields, kind):
        assert refusal(make_controller()[0], **fields).kind is kind

    @pytest.mark.parametrize('missing', ['middle', 'store'])
    def test_request_is_refused_when_a_dependency_has_no_target(self, missing):
        controller, _ = make_controller(missing=[missing])
        controller.admit('a', SERVICE, 1, 10, 0)
        assert (
            refusal(controller, service='front').kind
            is ErrorKind.DEPENDENCY_UNAVAILABLE
        )

    def test_request_is_refused_when_a_dependency_is_overloaded(self):
        controller, scheduler = make_controller()
        for number in range(400):
            scheduler.submit(task(number, service='store'), 0)
        assert (
            refusal(controller, service='front').kind
            is ErrorKind.DEPENDENCY_UNAVAILABLE
        )

    def test_leaving_target_is_not_counted(self):
        controller, scheduler = make_controller()
        scheduler.update_agent('agent-0.0', 'leaving', 0, 0)
        assert refusal(controller).kind is ErrorKind.NO_TARGET

    def test_team_above_its_quota_is_admitted_after_retry_after(self):
        controller, _ = make_controller()
        for _ in range(2000):
            controller.admit('a', SERVICE, 1, 10, 0)
        refused = refusal(controller)
        assert refused.kind is ErrorKind.QUOTA_EXCEEDED
        controller.admit('b', SERVICE, 1, 10, 0)
        controller.admit('a', SERVICE, 1, 20, refused.retry_after_s)

    def test_refused_request_is_not_charged(self):
        controller, _ = make_controller()
        for _ in range(3000):
            refusal(controller, service='empty')
        controller.admit('a', SERVICE, 1, 10, 0)


class TestBacklog:
    def test_retry_after_is_the_excess_of_the_expected_wait(self):
        controller, scheduler = make_controller()
        for number in range(160):
            scheduler.submit(task(number, team='a'), 0)
        refused = refusal(controller)
        assert refused.kind is ErrorKind.OVERLOADED
        assert refused.retry_after_s == 10
        scheduler.withdraw_request('entry-1.0', 0)
        controller.admit('a', SERVICE, 1, 10, 0)

    def test_backlog_of_one_team_does_not_refuse_another(self):
        controller, scheduler = make_controller()
        for number in range(160):
            scheduler.submit(task(number, team='a'), 0)
        assert refusal(controller, team='a').kind is ErrorKind.OVERLOADED
        controller.admit('b', SERVICE, 1, 10, 0)

    def test_backlog_of_a_lower_priority_does_not_count(self):
        controller, scheduler = make_controller()
        for number in range(160):
            scheduler.submit(task(number, team='a', priority=2), 0)
        controller.admit('a', SERVICE, 1, 10, 0)

    def test_queue_length_is_limited(self):
        controller, scheduler = make_controller(max_waiting=5)
        for number in range(5):
            scheduler.submit(task(number, service='sweep'), 0)
        assert (
            refusal(controller, service='sweep', tasks=2).kind is ErrorKind.OVERLOADED
        )

    def test_job_that_cannot_finish_in_time_is_refused(self):
        controller, _ = make_controller()
        assert (
            refusal(controller, service='sweep', tasks=1800).kind
            is ErrorKind.OVERLOADED
        )
        controller.admit('a', 'sweep', 1800, 300, 0)

    def test_idle_service_admits_despite_long_run_times(self):
        controller, scheduler = make_controller()
        for _ in range(200):
            scheduler.estimates.observe(SERVICE, 60_000)
        controller.admit('a', SERVICE, 1, 1.0, 0)

    def test_free_slots_beyond_an_equal_share_count(self):
        controller, scheduler = make_controller()
        controller.set_entry_count(4)
        controller.admit('a', SERVICE, 8, 10, 0)
        scheduler.update_agent('agent-0.0', 'open', 6, 0)
        assert scheduler.available_capacity(SERVICE) == 2


class TestGoodput:
    def test_goodput_does_not_fall_at_three_times_the_load(self):
        service = Service(SERVICE, IDEMPOTENT, run_ms=500)
        team = Team('a', 'token-a', tasks_per_s=1_000_000)
        config = OperatorConfig((service,), (team,))
        at_capacity = Simulation(1.0, 40, config=config).run()
        overloaded = Simulation(3.0, 40, config=config).run()
        assert overloaded.goodput >= at_capacity.goodput
        assert overloaded.late + overloaded.expired <= 0.01 * overloaded.on_time


class TestDependencies:
    @pytest.mark.parametrize(
        ('name', 'dependencies'),
        [(SERVICE, set()), ('middle', {'store'}), ('front', {'middle', 'store'})],
    )
    def test_dependencies_are_transitive(self, name, dependencies):
        services = {service.name: service for service in CONFIG.services}
        assert set(find_dependencies(name, services)) == dependencies

    def test_declared_run_time_is_the_prior_of_an_existing_pool(self):
        scheduler = CreditScheduler('dc1', RunTimeEstimates())
        join(scheduler, 1)
        controller = AdmissionController(scheduler, scheduler.estimates, TeamQuotas())
        controller.apply_config(CONFIG, 0)
        scheduler.record_outcome('agent-0.0', SERVICE, 'done', 80, 0)
        assert scheduler.estimates.estimate_for(SERVICE).mean_s < 0.5


class TestPriorities:
    CONFIG = OperatorConfig(
        services=(
            Service('first', IDEMPOTENT, priority=0, run_ms=500, pool='shared'),
            Service('second', IDEMPOTENT, priority=1, run_ms=500, pool='shared'),
        ),
        teams=(Team('a', 'token-a', tasks_per_s=100_000),),
    )

    def _make_controller(self):
        scheduler = CreditScheduler('dc1')
        scheduler.add_agent(identity(0, service='shared'), 0)
        controller = AdmissionController(scheduler, scheduler.estimates, TeamQuotas())
        controller.apply_config(self.CONFIG, 0)
        return controller, scheduler

    def test_backlog_behind_higher_priorities_is_refused(self):
        controller, scheduler = self._make_controller()
        for number in range(64):
            controller.admit('a', 'first', 1, 100.0, number / 32)
        for number in range(10):
            scheduler.submit(task(number, service='first', pool='shared'), 0)
        refused = refusal(controller, service='second', deadline=10.0, now=2.0)
        assert refused.kind is ErrorKind.OVERLOADED

    def test_free_slots_are_open_to_every_priority(self):
        controller, _ = self._make_controller()
        for number in range(64):
            controller.admit('a', 'first', 1, 100.0, number / 32)
        controller.admit('a', 'second', 1, 10.0, 2.0)
