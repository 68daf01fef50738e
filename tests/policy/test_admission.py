"""Each refusal with its kind, and goodput under overload."""

import pytest
from endivetally_config.text import OperatorsText
from endivetally_config.text import Service
from endivetally_config.text import ServiceKind
from endivetally_config.text import Team
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
from policy.simulation import Model

IDEMPOTENT = ServiceKind.IDEMPOTENT
TEXT = OperatorsText(
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


def admission(missing=(), max_waiting=50_000):
    scheduler = CreditScheduler('dc1')
    for number, service in enumerate((SERVICE, 'front', 'middle', 'store', 'sweep')):
        if service not in missing:
            scheduler.add_agent(identity(number, service=service), 0)
    made = AdmissionController(
        scheduler,
        scheduler.estimates,
        TeamQuotas(),
        AdmissionSettings(max_waiting),
    )
    made.apply_config(TEXT, 0)
    return made, scheduler


def refusal(made, team='a', service=SERVICE, tasks=1, deadline=10.0, now=0.0):
    with pytest.raises(RequestError) as caught:
        made.admit(team, service, tasks, deadline, now)
    assert caught.value.ran is ExecutionState.NOT_RUN
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
    def test_kind(self, fields, kind):
        assert refusal(admission()[0], **fields).kind is kind

    @pytest.mark.parametrize('missing', ['middle', 'store'])
    def test_needed_service_without_target(self, missing):
        made, _ = admission(missing=[missing])
        made.admit('a', SERVICE, 1, 10, 0)
        assert refusal(made, service='front').kind is ErrorKind.DEPENDENCY_UNAVAILABLE

    def test_needed_service_overloaded(self):
        made, scheduler = admission()
        for number in range(400):
            scheduler.submit(task(number, service='store'), 0)
        assert refusal(made, service='front').kind is ErrorKind.DEPENDENCY_UNAVAILABLE

    def test_drained_target_is_none(self):
        made, scheduler = admission()
        scheduler.update_agent('agent-0.0', 'leaving', 0, 0)
        assert refusal(made).kind is ErrorKind.NO_TARGET

    def test_quota_with_honest_retry_after(self):
        made, _ = admission()
        for _ in range(2000):
            made.admit('a', SERVICE, 1, 10, 0)
        refused = refusal(made)
        assert refused.kind is ErrorKind.QUOTA_EXCEEDED
        made.admit('b', SERVICE, 1, 10, 0)
        made.admit('a', SERVICE, 1, 20, refused.retry_after_s)

    def test_refused_request_is_not_charged(self):
        made, _ = admission()
        for _ in range(3000):
            refusal(made, service='empty')
        made.admit('a', SERVICE, 1, 10, 0)


class TestBacklog:
    def test_retry_after_is_when_the_backlog_would_admit(self):
        made, scheduler = admission()
        for number in range(160):
            scheduler.submit(task(number, team='a'), 0)
        refused = refusal(made)
        assert refused.kind is ErrorKind.OVERLOADED
        assert refused.retry_after_s == 10
        scheduler.withdraw_request('entry-1.0', 0)
        made.admit('a', SERVICE, 1, 10, 0)

    def test_light_team_passes_the_backlog_of_a_heavy_one(self):
        made, scheduler = admission()
        for number in range(160):
            scheduler.submit(task(number, team='a'), 0)
        assert refusal(made, team='a').kind is ErrorKind.OVERLOADED
        made.admit('b', SERVICE, 1, 10, 0)

    def test_higher_priority_passes_a_lower_one(self):
        made, scheduler = admission()
        for number in range(160):
            scheduler.submit(task(number, team='a', priority=2), 0)
        made.admit('a', SERVICE, 1, 10, 0)

    def test_queue_bound(self):
        made, scheduler = admission(max_waiting=5)
        for number in range(5):
            scheduler.submit(task(number, service='sweep'), 0)
        assert refusal(made, service='sweep', tasks=2).kind is ErrorKind.OVERLOADED

    def test_job_that_cannot_end_in_time(self):
        made, _ = admission()
        assert refusal(made, service='sweep', tasks=1800).kind is ErrorKind.OVERLOADED
        made.admit('a', 'sweep', 1800, 300, 0)

    def test_idle_service_admits_in_spite_of_long_run_times(self):
        made, scheduler = admission()
        for _ in range(200):
            scheduler.estimates.observe(SERVICE, 60_000)
        made.admit('a', SERVICE, 1, 1.0, 0)

    def test_slots_of_idle_entries_count(self):
        made, scheduler = admission()
        made.set_entry_count(4)
        made.admit('a', SERVICE, 8, 10, 0)
        scheduler.update_agent('agent-0.0', 'open', 6, 0)
        assert scheduler.available_capacity(SERVICE) == 2


class TestGoodput:
    def test_three_times_the_load_costs_no_goodput(self):
        service = Service(SERVICE, IDEMPOTENT, run_ms=500)
        team = Team('a', 'token-a', tasks_per_s=1_000_000)
        text = OperatorsText((service,), (team,))
        at_one = Model(1.0, 40, text=text).run()
        at_three = Model(3.0, 40, text=text).run()
        assert at_three.goodput >= at_one.goodput
        assert at_three.late + at_three.expired <= 0.01 * at_three.good


class TestNeeded:
    @pytest.mark.parametrize(
        ('name', 'needed'),
        [(SERVICE, set()), ('middle', {'store'}), ('front', {'middle', 'store'})],
    )
    def test_transitive(self, name, needed):
        services = {service.name: service for service in TEXT.services}
        assert set(find_dependencies(name, services)) == needed

    def test_declared_time_reaches_a_pool_that_exists(self):
        scheduler = CreditScheduler('dc1', RunTimeEstimates())
        join(scheduler, 1)
        made = AdmissionController(scheduler, scheduler.estimates, TeamQuotas())
        made.apply_config(TEXT, 0)
        scheduler.record_outcome('agent-0.0', SERVICE, 'done', 80, 0)
        assert scheduler.estimates.estimate_for(SERVICE).mean_s < 0.5


class TestPriorities:
    TEXT = OperatorsText(
        services=(
            Service('first', IDEMPOTENT, priority=0, run_ms=500, pool='shared'),
            Service('second', IDEMPOTENT, priority=1, run_ms=500, pool='shared'),
        ),
        teams=(Team('a', 'token-a', tasks_per_s=100_000),),
    )

    def _admission(self):
        scheduler = CreditScheduler('dc1')
        scheduler.add_agent(identity(0, service='shared'), 0)
        made = AdmissionController(scheduler, scheduler.estimates, TeamQuotas())
        made.apply_config(self.TEXT, 0)
        return made, scheduler

    def test_a_backlog_behind_higher_priorities_is_refused_at_once(self):
        made, scheduler = self._admission()
        for number in range(64):
            made.admit('a', 'first', 1, 100.0, number / 32)
        for number in range(10):
            scheduler.submit(task(number, service='first', pool='shared'), 0)
        late = refusal(made, service='second', deadline=10.0, now=2.0)
        assert late.kind is ErrorKind.OVERLOADED

    def test_free_slots_are_open_to_every_priority(self):
        made, _ = self._admission()
        for number in range(64):
            made.admit('a', 'first', 1, 100.0, number / 32)
        made.admit('a', 'second', 1, 10.0, 2.0)
