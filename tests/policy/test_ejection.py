"""Ejection of failing agents, probes and slow agents."""

import pytest
from endivetally_policy.ejection import EjectionState
from endivetally_policy.ejection import ServiceHealth


def healthy_service(count=10):
    health = ServiceHealth()
    for number in range(count):
        health.add_agent(str(number))
    return health


def succeed(health, agent, count=1, now=0.0, run_s=0.1):
    for _ in range(count):
        health.record_success(agent, run_s, 0.1, now)


def fail(health, agent, count=5, now=0.0):
    for _ in range(count):
        health.record_failure(agent, now)


class TestEjection:
    @pytest.mark.parametrize(
        ('plan', 'standing'),
        [
            ('FFFF', EjectionState.HEALTHY),
            ('FFFFF', EjectionState.EJECTED),
            ('S' * 80 + 'FFFFF', EjectionState.EJECTED),
            ('FS' * 4, EjectionState.HEALTHY),
            ('SF' * 5, EjectionState.EJECTED),
            ('SSF' * 20, EjectionState.HEALTHY),
        ],
    )
    def test_by_failures(self, plan, standing):
        health = healthy_service()
        succeed(health, '1', 50)
        for step in plan:
            if step == 'F':
                fail(health, '0', 1)
            else:
                succeed(health, '0')
        assert health.state_of('0') is standing

    @pytest.mark.parametrize(
        ('agents', 'ejected'),
        [(2, 0), (3, 0), (4, 1), (10, 3), (11, 3), (20, 6)],
    )
    def test_never_above_its_share(self, agents, ejected):
        health = healthy_service(agents)
        succeed(health, str(agents - 1), 500)
        for number in range(agents - 1):
            fail(health, str(number))
            assert len(health.ejected) <= agents * 0.3
        assert len(health.ejected) == ejected

    def test_above_the_share_it_is_tried_last(self):
        health = healthy_service(3)
        succeed(health, '1', 50)
        fail(health, '0')
        assert health.state_of('0') is EjectionState.SUSPECT
        assert health.reinstate_expired(31) == ['0']

    def test_service_that_fails_everywhere_ejects_nobody_by_ratio(self):
        health = healthy_service()
        for _ in range(4):
            for number in range(10):
                fail(health, str(number), 1)
        for _ in range(20):
            for number in range(10):
                fail(health, str(number), 1)
        assert not health.ejected

    def test_old_failures_are_forgotten(self):
        health = healthy_service()
        succeed(health, '1', 50)
        for start in range(0, 1000, 100):
            succeed(health, '0', now=start)
            fail(health, '0', 4, now=start)
        assert health.state_of('0') is EjectionState.HEALTHY


class TestProbes:
    def ejected(self):
        health = healthy_service()
        succeed(health, '1', 50)
        fail(health, '0')
        return health

    def test_one_at_a_time_after_its_time(self):
        health = self.ejected()
        assert health.find_probe_candidate(4.9) is None
        assert health.find_probe_candidate(5) == '0'
        health.start_probe('0')
        assert health.find_probe_candidate(5.1) is None
        health.end_probe('0')
        assert health.find_probe_candidate(5.2) == '0'

    def test_three_successes_bring_it_back(self):
        health = self.ejected()
        for _ in range(3):
            assert health.state_of('0') is EjectionState.EJECTED
            health.start_probe('0')
            succeed(health, '0', now=6)
        assert health.state_of('0') is EjectionState.HEALTHY

    def test_time_doubles_up_to_a_minute(self):
        health = self.ejected()
        now = 0.0
        for wait_s in [5, 10, 20, 40, 60, 60]:
            assert health.find_probe_candidate(now + wait_s - 0.1) is None
            now += wait_s
            assert health.find_probe_candidate(now) == '0'
            health.start_probe('0')
            fail(health, '0', 1, now)

    def test_tasks_from_before_the_ejection_count_as_no_probe(self):
        health = self.ejected()
        succeed(health, '0', 5, now=1)
        fail(health, '0', 5, now=1)
        assert health.state_of('0') is EjectionState.EJECTED
        assert health.find_probe_candidate(5) == '0'

    def test_without_probes_it_ends_in_the_end(self):
        health = self.ejected()
        assert not health.reinstate_expired(299)
        assert health.reinstate_expired(300) == ['0']

    def test_new_incarnation_starts_afresh(self):
        health = self.ejected()
        health.remove_agent('0')
        health.add_agent('0')
        assert health.state_of('0') is EjectionState.HEALTHY


class TestSlowAgents:
    @pytest.mark.parametrize(
        ('run_s', 'standing'),
        [
            (0.1, EjectionState.HEALTHY),
            (0.29, EjectionState.HEALTHY),
            (0.31, EjectionState.SLOW),
        ],
    )
    def test_by_median(self, run_s, standing):
        health = healthy_service()
        succeed(health, '0', 20, run_s=run_s)
        assert health.state_of('0') is standing

    def test_single_long_tasks_do_not_count(self):
        health = healthy_service()
        for number in range(30):
            succeed(health, '0', run_s=5.0 if number % 3 == 0 else 0.1)
        assert health.state_of('0') is EjectionState.HEALTHY

    def test_recovers(self):
        health = healthy_service()
        succeed(health, '0', 20, run_s=1.0)
        succeed(health, '0', 16, run_s=0.1)
        assert health.state_of('0') is EjectionState.HEALTHY
