"""Tests the message counts read from metrics, and the overhead computed from them."""

import pytest
from endivetally.bench.messages import measure_message_overhead
from endivetally.bench.messages import parse_message_counts

EXPOSITION = """\
# HELP endivetally_messages_total Messages sent.
# TYPE endivetally_messages_total counter
endivetally_messages_total{message="Dispatch"} 12
endivetally_messages_total{link="a",message="Outcome"} 11.0
endivetally_messages_total{message="Outcome",link="b"} 1.0
endivetally_messages_totally{message="Grant"} 5
endivetally_frames_total 4
"""


class TestParseMessageCounts:
    def test_samples_of_a_message_class_are_summed(self) -> None:
        assert parse_message_counts(EXPOSITION) == {'Dispatch': 12, 'Outcome': 12}

    def test_an_exposition_without_the_metric_gives_no_counts(self) -> None:
        assert not parse_message_counts('other 1\n')


class TestMessageOverhead:
    @pytest.mark.parametrize(
        ('sent', 'tasks', 'ratio', 'control', 'excess'),
        [
            ({'Dispatch': 10, 'Outcome': 10}, 10, 1, 0, {}),
            (
                {'Dispatch': 11, 'Outcome': 11, 'Grant': 3},
                10,
                1.25,
                0,
                {'Dispatch': 1, 'Outcome': 1, 'Grant': 3},
            ),
            (
                {'Dispatch': 10, 'Outcome': 10, 'AgentState': 5, 'TextUpdate': 1},
                10,
                1,
                0.3,
                {},
            ),
            ({'Dispatch': 10, 'Outcome': 9}, 10, 0.95, 0, {'Outcome': -1}),
            ({'Demand': 4}, 0, 0, 0, {'Demand': 4}),
        ],
    )
    def test_messages_are_compared_with_the_minimum(
        self,
        sent: dict[str, int],
        tasks: int,
        ratio: float,
        control: float,
        excess: dict[str, int],
    ) -> None:
        overhead = measure_message_overhead(sent, tasks)
        assert overhead.message_ratio == pytest.approx(ratio)
        assert overhead.control_ratio == pytest.approx(control)
        assert overhead.excess == excess
