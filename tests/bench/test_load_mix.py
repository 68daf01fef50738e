"""Tests that planned arrivals follow the seed, the requested load and the bursts."""

import random

import pytest
from endivetally.bench.mix import request_kinds
from endivetally.fleet.deployment import DEPLOYMENTS
from endivetally.fleet.deployment import LOVDATA
from endivetally.fleet.deployment import Deployment
from endivetally.load.generator import count_processes
from endivetally.load.mix import Arrival
from endivetally.load.mix import Bursts
from endivetally.load.mix import RunTimes
from endivetally.load.mix import plan_arrivals


def plan(seed: int, load: float = 0.8, seconds: float = 200) -> list[Arrival]:
    kinds = request_kinds(LOVDATA)
    return plan_arrivals(kinds, load=load, seconds=seconds, seed=seed)


class TestPlan:
    def test_same_seed_gives_the_same_arrivals(self) -> None:
        assert plan(1) == plan(1)

    def test_another_seed_gives_other_arrivals(self) -> None:
        assert plan(1) != plan(2)

    def test_arrivals_are_in_order_of_time_with_unique_keys(self) -> None:
        arrivals = plan(1)
        assert arrivals == sorted(arrivals, key=lambda arrival: arrival.at_s)
        assert len({arrival.key for arrival in arrivals}) == len(arrivals)

    @pytest.mark.parametrize('load', [0.5, 0.8, 3])
    def test_load_is_the_occupied_share_of_slots(self, load: float) -> None:
        run_ms = dict.fromkeys(LOVDATA.count_service_slots(), 0)
        for arrival in plan(1, load, 1000):
            run_ms[arrival.service] += sum(arrival.run_ms)
        for kind in request_kinds(LOVDATA):
            share = run_ms[kind.service] / (kind.slots * 1_000_000)
            assert share == pytest.approx(load, rel=0.06)
        total = sum(run_ms.values()) / (
            LOVDATA.count_pool_slots('search-front') * 1_000_000
        )
        assert total == pytest.approx(load, rel=0.06)


class TestBursts:
    @pytest.mark.parametrize('factor', [1, 1.25, 3])
    def test_bursts_keep_the_mean_rate(self, factor: float) -> None:
        bursts = Bursts(period_s=5, length_s=1, factor=factor)
        factors = [bursts.factor_at(tenth / 10) for tenth in range(500)]
        assert sum(factors) / len(factors) == pytest.approx(1)


class TestRunTimes:
    def test_drawn_run_times_match_the_mean_and_the_bounds(self) -> None:
        times = RunTimes()
        source = random.Random(1)
        draws = [times.draw(source) for _ in range(50_000)]
        assert sum(draws) / len(draws) == pytest.approx(times.mean_ms, rel=0.03)
        assert min(draws) >= times.low_ms
        assert max(draws) <= times.tail_high_ms


class TestDeployments:
    @pytest.mark.parametrize('deployment', DEPLOYMENTS)
    def test_eleven_workers_with_at_most_three_in_a_rack(
        self, deployment: Deployment
    ) -> None:
        racks = [worker.rack for worker in deployment.workers]
        assert len(racks) == 11
        assert max(racks.count(rack) for rack in racks) == 3

    @pytest.mark.parametrize('deployment', DEPLOYMENTS)
    def test_each_rack_is_in_one_data_centre(self, deployment: Deployment) -> None:
        locations = {(each.rack, each.data_centre) for each in deployment.workers}
        assert len(locations) == len({each.rack for each in deployment.workers})


def test_a_higher_rate_needs_more_processes() -> None:
    assert count_processes([]) == 1
    assert count_processes(plan(1, 0.8, 10)) == 1
    assert count_processes(plan(1, 3, 10)) > 1
