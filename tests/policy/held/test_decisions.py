"""Decisions on held jobs: resources, retries, placement, admission, health."""

import pytest
from endivetally_policy.held import AdmissionVerdict
from endivetally_policy.held import AgentLoad
from endivetally_policy.held import HeldAdmissionPolicy
from endivetally_policy.held import Load
from endivetally_policy.held import NextAction
from endivetally_policy.held import ResourceReservations
from endivetally_policy.held import Resources
from endivetally_policy.held import RunEnd
from endivetally_policy.held import RunTimePredictor
from endivetally_policy.held import TargetHealth
from endivetally_policy.held import Work
from endivetally_policy.held import choose_agent
from endivetally_policy.held import next_action
from endivetally_policy.held.run_ends import NEVER_RAN
from endivetally_policy.held.run_ends import NEXT_ACTIONS

NEED = Resources(1600, 64)
CAPACITY = Resources(16_000, 32_768)


def agent_load(
    name, free_cpu, backlog_cpu=0, *, dc='local', slowdown=1.0, accepting=True
):
    free = Resources(free_cpu, 32_768)
    return AgentLoad(name, dc, CAPACITY, free, backlog_cpu, slowdown, accepting)


class TestResourceReservations:
    def test_resources_are_reserved_once_and_released_once(self):
        reservations = ResourceReservations(Resources(3200, 1024))
        assert reservations.reserve('a', NEED)
        assert not reservations.reserve('a', NEED)
        assert reservations.reserve('b', NEED)
        assert not reservations.reserve('c', NEED)
        reservations.release('a')
        reservations.release('a')
        assert reservations.free == NEED.plus(Resources(0, 1024 - 128))

    def test_memory_limits_reservations(self):
        assert not ResourceReservations(Resources(16_000, 100)).reserve(
            'a', Resources(1, 101)
        )


class TestNextActions:
    def test_every_end_has_a_next_action(self):
        assert set(NEXT_ACTIONS) == set(RunEnd)

    @pytest.mark.parametrize('end', sorted(NEVER_RAN))
    def test_refusals_do_not_count_as_failures(self, end):
        if end is RunEnd.REFUSED_DUPLICATE:
            assert next_action(end) is NextAction.RETRY_THERE
        else:
            retries = {NextAction.RETRY_SOON, NextAction.RETRY_ELSEWHERE}
            assert next_action(end) in retries

    @pytest.mark.parametrize(
        'end', [RunEnd.UNREACHABLE, RunEnd.LOST, RunEnd.LEASE_EXPIRED, RunEnd.STALLED]
    )
    def test_runs_that_may_have_started_are_no_refusals(self, end):
        assert end not in NEVER_RAN


class TestPlacement:
    @pytest.mark.parametrize(
        ('agents', 'avoid', 'chosen'),
        [
            ([], (), None),
            ([agent_load('a', 1500, 1600)], (), None),
            ([agent_load('a', 1500)], (), 'a'),
            ([agent_load('a', 1500), agent_load('b', 1600)], (), 'b'),
            ([agent_load('a', 8000), agent_load('b', 8000, dc='remote')], (), 'a'),
            ([agent_load('a', 2000), agent_load('b', 16_000, dc='remote')], (), 'b'),
            ([agent_load('a', 16_000, slowdown=4), agent_load('b', 2000)], (), 'b'),
            ([agent_load('a', 16_000), agent_load('b', 2000)], {'a'}, 'b'),
            ([agent_load('a', 16_000)], {'a'}, 'a'),
            ([agent_load('a', 16_000, accepting=False)], (), None),
        ],
    )
    def test_best_agent_is_chosen(self, agents, avoid, chosen):
        best = choose_agent(agents, NEED, 'local', avoid)
        assert (best.name if best else None) == chosen


class TestAdmission:
    @pytest.mark.parametrize(
        ('ahead', 'job', 'free', 'verdict'),
        [
            (Work(0, 0), Work(12.8, 1.5), 16, AdmissionVerdict.ADMITTED),
            (Work(0, 0), Work(12.8, 1.5), 0, AdmissionVerdict.ADMITTED),
            (Work(60, 8), Work(12.8, 1.5), 0, AdmissionVerdict.OVERLOADED),
            (Work(60, 8), Work(12.8, 1.5), 72.8, AdmissionVerdict.ADMITTED),
        ],
    )
    def test_work_that_fits_into_free_cores_does_not_wait(
        self, ahead, job, free, verdict
    ):
        load = Load(ahead, job, capacity_cores=160, free_cores=free, entry_count=3)
        decided = HeldAdmissionPolicy().decide(load, 0.13, jitter=0)
        assert decided.verdict is verdict

    def test_retries_are_spread(self):
        load = Load(Work(600, 300), Work(1, 1), 160, 0, 1)
        retry_times = {
            HeldAdmissionPolicy().decide(load, 0.1, jitter=jitter / 10).retry_after_s
            for jitter in range(10)
        }
        assert len(retry_times) > 1
        assert min(retry_times) >= 1

    def test_jobs_are_admitted_while_the_first_targets_join(self):
        load = Load(
            Work(0, 0), Work(1, 1), 0, 0, 1, fits_a_target=False, joining_targets=3
        )
        assert (
            HeldAdmissionPolicy().decide(load, 0.1, jitter=0).verdict
            is AdmissionVerdict.ADMITTED
        )

    @pytest.mark.parametrize(
        ('capacity', 'fits', 'verdict'),
        [
            (0, True, AdmissionVerdict.NO_TARGET),
            (16, False, AdmissionVerdict.TOO_LARGE),
        ],
    )
    def test_job_that_no_target_can_run_is_refused(self, capacity, fits, verdict):
        load = Load(Work(0, 0), Work(1, 1), capacity, capacity, 1, fits)
        assert HeldAdmissionPolicy().decide(load, 9, jitter=0).verdict is verdict


class TestHealth:
    def test_one_failing_job_does_not_make_a_target_failing(self):
        health = TargetHealth()
        for _ in range(8):
            health.record_failure('failing job', 0)
        assert health.may_start(5, 0)

    def test_delay_between_probes_doubles_up_to_a_limit(self):
        health = TargetHealth()
        for number in range(3):
            health.record_failure(number, 0)
        delays = []
        now = 0.0
        for number in range(5):
            failed_at = now
            while not health.may_start(0, now):
                now += 0.1
            delays.append(now - failed_at)
            assert not health.may_start(1, now)
            health.record_failure(f'probe-{number}', now)
        assert delays == pytest.approx([0.5, 1, 2, 4, 4], abs=0.15)

    def test_success_makes_a_failing_target_healthy(self):
        health = TargetHealth()
        for number in range(3):
            health.record_failure(number, 0)
        assert health.record_success(0.1, 0.1)
        assert health.may_start(9, 0)


class TestRunTimePredictor:
    def test_wrong_declared_times_are_corrected(self):
        predictor = RunTimePredictor()
        for _ in range(100):
            predictor.observe('lookup', 0.2, 0.1)
        assert predictor.predict('lookup', 0.2) == pytest.approx(0.1, rel=0.05)
        assert predictor.predict('lookup', 0.4) > predictor.predict('lookup', 0.2)

    def test_prediction_without_a_declared_time_is_positive(self):
        assert RunTimePredictor().predict('lookup', 0) > 0

    @pytest.mark.parametrize('declared_s', [5e-324, 1e-303, 1e-9, 86_400])
    def test_one_absurd_estimate_says_little_about_later_tasks(self, declared_s):
        predictor = RunTimePredictor()
        predictor.observe('lookup', declared_s, 0.02)
        for _ in range(20):
            predictor.observe('lookup', 0.02, 0.02)
        assert 0.01 < predictor.predict('lookup', 0.02) < 0.1
