"""Decisions on held jobs, by table."""

import pytest
from endivetally_policy.held import AdmissionVerdict
from endivetally_policy.held import AgentLoad
from endivetally_policy.held import HeldAdmissionController
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
from endivetally_policy.held.attempts import NEVER_RAN
from endivetally_policy.held.attempts import NEXT_ACTIONS

NEED = Resources(1600, 64)
CAPACITY = Resources(16_000, 32_768)


def room(name, free_cpu, backlog_cpu=0, *, dc='here', pace=1.0, accepting=True):
    free = Resources(free_cpu, 32_768)
    return AgentLoad(name, dc, CAPACITY, free, backlog_cpu, pace, accepting)


class TestRoom:
    def test_room_is_taken_once_and_given_back_once(self):
        held = ResourceReservations(Resources(3200, 1024))
        assert held.reserve('a', NEED)
        assert not held.reserve('a', NEED)
        assert held.reserve('b', NEED)
        assert not held.reserve('c', NEED)
        held.release('a')
        held.release('a')
        assert held.free == NEED.plus(Resources(0, 1024 - 128))

    def test_memory_counts(self):
        assert not ResourceReservations(Resources(16_000, 100)).reserve(
            'a', Resources(1, 101)
        )


class TestAttempts:
    def test_every_end_has_a_next_step(self):
        assert set(NEXT_ACTIONS) == set(RunEnd)

    @pytest.mark.parametrize('end', sorted(NEVER_RAN))
    def test_refusals_count_no_attempt(self, end):
        assert next_action(end) in {NextAction.RETRY_SOON, NextAction.RETRY_ELSEWHERE}

    @pytest.mark.parametrize(
        'end', [RunEnd.UNREACHABLE, RunEnd.LOST, RunEnd.LAPSED, RunEnd.STALLED]
    )
    def test_what_may_have_run_is_no_refusal(self, end):
        assert end not in NEVER_RAN


class TestPlacing:
    @pytest.mark.parametrize(
        ('rooms', 'avoid', 'chosen'),
        [
            ([], (), None),
            ([room('a', 1500, 1600)], (), None),
            ([room('a', 1500)], (), 'a'),
            ([room('a', 1500), room('b', 1600)], (), 'b'),
            ([room('a', 8000), room('b', 8000, dc='far')], (), 'a'),
            ([room('a', 2000), room('b', 16_000, dc='far')], (), 'b'),
            ([room('a', 16_000, pace=4), room('b', 2000)], (), 'b'),
            ([room('a', 16_000), room('b', 2000)], {'a'}, 'b'),
            ([room('a', 16_000)], {'a'}, 'a'),
            ([room('a', 16_000, accepting=False)], (), None),
        ],
    )
    def test_choice(self, rooms, avoid, chosen):
        best = choose_agent(rooms, NEED, 'here', avoid)
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
    def test_what_fits_into_free_room_does_not_wait(self, ahead, job, free, verdict):
        load = Load(ahead, job, capacity_cores=160, free_cores=free, entry_count=3)
        decided = HeldAdmissionController().decide(load, 0.13, jitter=0)
        assert decided.verdict is verdict

    def test_return_is_spread(self):
        load = Load(Work(600, 300), Work(1, 1), 160, 0, 1)
        times = {
            HeldAdmissionController()
            .decide(load, 0.1, jitter=jitter / 10)
            .retry_after_s
            for jitter in range(10)
        }
        assert len(times) > 1
        assert min(times) >= 1

    def test_first_jobs_wait_for_targets_that_join(self):
        load = Load(
            Work(0, 0), Work(1, 1), 0, 0, 1, fits_a_target=False, joining_targets=3
        )
        assert (
            HeldAdmissionController().decide(load, 0.1, jitter=0).verdict
            is AdmissionVerdict.ADMITTED
        )

    @pytest.mark.parametrize(
        ('capacity', 'fits', 'verdict'),
        [
            (0, True, AdmissionVerdict.NO_TARGET),
            (16, False, AdmissionVerdict.TOO_LARGE),
        ],
    )
    def test_what_can_not_be_served(self, capacity, fits, verdict):
        load = Load(Work(0, 0), Work(1, 1), capacity, capacity, 1, fits)
        assert HeldAdmissionController().decide(load, 9, jitter=0).verdict is verdict


class TestHealth:
    def test_one_bad_job_is_not_the_target(self):
        health = TargetHealth()
        for _ in range(8):
            health.record_failure('poison', 0)
        assert health.may_start(5, 0)

    def test_failing_target_is_probed_ever_more_rarely(self):
        health = TargetHealth()
        for number in range(3):
            health.record_failure(number, 0)
        waits = []
        now = 0.0
        for number in range(5):
            began = now
            while not health.may_start(0, now):
                now += 0.1
            waits.append(now - began)
            assert not health.may_start(1, now)
            health.record_failure(f'probe-{number}', now)
        assert waits == pytest.approx([0.5, 1, 2, 4, 4], abs=0.15)

    def test_success_ends_the_suspicion(self):
        health = TargetHealth()
        for number in range(3):
            health.record_failure(number, 0)
        assert health.record_success(0.1, 0.1)
        assert health.may_start(9, 0)


class TestExpectedTimes:
    def test_wrong_declarations_are_learned(self):
        expected = RunTimePredictor()
        for _ in range(100):
            expected.observe('lookup', 0.2, 0.1)
        assert expected.predict('lookup', 0.2) == pytest.approx(0.1, rel=0.05)
        assert expected.predict('lookup', 0.4) > expected.predict('lookup', 0.2)

    def test_nothing_declared(self):
        assert RunTimePredictor().predict('lookup', 0) > 0
