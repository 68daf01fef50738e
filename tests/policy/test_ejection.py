"""Ejection of failing agents, probes, and detection of slow agents."""

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
        ('outcomes', 'state'),
        [
            ('FFFF', EjectionState.HEALTHY),
            ('FFFFF', EjectionState.EJECTED),
            ('S' * 80 + 'FFFFF', EjectionState.EJECTED),
            ('FS' * 4, EjectionState.HEALTHY),
            ('SF' * 5, EjectionState.EJECTED),
            ('SSF' * 20, EjectionState.HEALTHY),
        ],
    )
    def test_failures_eject_an_agent(self, outcomes, state):
        health = healthy_service()
        succeed(health, '1', 50)
        for outcome in outcomes:
            if outcome == 'F':
                fail(health, '0', 1)
            else:
                succeed(health, '0')
        assert health.state_of('0') is state

    @pytest.mark.parametrize(
        ('agents', 'ejected'),
        [(2, 0), (3, 0), (4, 1), (10, 3), (11, 3), (20, 6)],
    )
    def test_ejected_share_is_limited(self, agents, ejected):
        health = healthy_service(agents)
        succeed(health, str(agents - 1), 500)
        for number in range(agents - 1):
            fail(health, str(number))
            assert len(health.ejected) <= agents * 0.3
        assert len(health.ejected) == ejected

    def test_failing_agent_beyond_that_share_is_suspect(self):
        health = healthy_service(3)
        succeed(health, '1', 50)
        fail(health, '0')
        assert health.state_of('0') is EjectionState.SUSPECT
        assert health.reinstate_expired(31) == ['0']

    def test_no_agent_is_ejected_when_all_agents_fail(self):
        health = healthy_service()
        for _ in range(4):
            for number in range(10):
                fail(health, str(number), 1)
        for _ in range(20):
            for number in range(10):
                fail(health, str(number), 1)
        assert not health.ejected

    def test_failures_outside_of_the_window_do_not_count(self):
        health = healthy_service()
        succeed(health, '1', 50)
        for start in range(0, 1000, 100):
            succeed(health, '0', now=start)
            fail(health, '0', 4, now=start)
        assert health.state_of('0') is EjectionState.HEALTHY


class TestProbes:
    def service_with_ejected_agent(self):
        health = healthy_service()
        succeed(health, '1', 50)
        fail(health, '0')
        return health

    def test_agent_is_probed_with_one_task_at_a_time_after_a_delay(self):
        health = self.service_with_ejected_agent()
        assert health.find_probe_candidate(4.9) is None
        assert health.find_probe_candidate(5) == '0'
        health.start_probe('0')
        assert health.find_probe_candidate(5.1) is None
        health.end_probe('0')
        assert health.find_probe_candidate(5.2) == '0'

    def test_three_successful_probes_reinstate_an_agent(self):
        health = self.service_with_ejected_agent()
        for _ in range(3):
            assert health.state_of('0') is EjectionState.EJECTED
            health.start_probe('0')
            succeed(health, '0', now=6)
        assert health.state_of('0') is EjectionState.HEALTHY

    def test_delay_doubles_up_to_a_minute(self):
        health = self.service_with_ejected_agent()
        now = 0.0
        for wait_s in [5, 10, 20, 40, 60, 60]:
            assert health.find_probe_candidate(now + wait_s - 0.1) is None
            now += wait_s
            assert health.find_probe_candidate(now) == '0'
            health.start_probe('0')
            fail(health, '0', 1, now)

    def test_tasks_from_before_the_ejection_are_no_probes(self):
        health = self.service_with_ejected_agent()
        succeed(health, '0', 5, now=1)
        fail(health, '0', 5, now=1)
        assert health.state_of('0') is EjectionState.EJECTED
        assert health.find_probe_candidate(5) == '0'

    def test_ejection_without_probes_expires(self):
        health = self.service_with_ejected_agent()
        assert not health.reinstate_expired(299)
        assert health.reinstate_expired(300) == ['0']

    def test_new_incarnation_is_healthy(self):
        health = self.service_with_ejected_agent()
        health.remove_agent('0')
        health.add_agent('0')
        assert health.state_of('0') is EjectionState.HEALTHY


class TestSlowAgents:
    @pytest.mark.parametrize(
        ('run_s', 'state'),
        [
            (0.1, EjectionState.HEALTHY),
            (0.29, EjectionState.HEALTHY),
            (0.31, EjectionState.SLOW),
        ],
    )
    def test_median_run_time_marks_an_agent_as_slow(self, run_s, state):
        health = healthy_service()
        succeed(health, '0', 20, run_s=run_s)
        assert health.state_of('0') is state

    def test_a_third_of_long_tasks_does_not_mark_an_agent_as_slow(self):
        health = healthy_service()
        for number in range(30):
            succeed(health, '0', run_s=5.0 if number % 3 == 0 else 0.1)
        assert health.state_of('0') is EjectionState.HEALTHY

    def test_slow_agent_recovers(self):
        health = healthy_service()
        succeed(health, '0', 20, run_s=1.0)
        succeed(health, '0', 16, run_s=0.1)
        assert health.state_of('0') is EjectionState.HEALTHY
