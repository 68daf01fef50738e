"""Reports that stand for the first one of an instance that has answered a poll.

A session that waited for the first report would leave the instance without a fencing
token for up to a second, in which it accepts late commands to the former one.
"""

from dataclasses import replace
from typing import Final

from endivetally_held.target_client import TargetReport

# Lower than the sequence of any report.
EXPECTED_SEQUENCE: Final = -1


def expect_report(former: TargetReport, born_ms: int) -> TargetReport:
    """Return the report by which a session with the next instance is opened.

    The instance is taken for a draining one, so that nothing is started there before
    its own report.

    :param former: the newest report of the former instance.
    :param born_ms: start of the next instance.
    """
    return replace(
        former, born_ms=born_ms, draining=True, clock_ms=0, sequence=EXPECTED_SEQUENCE
    )


def is_expected(report: TargetReport) -> bool:
    """Return whether a report only stands for the first one."""
    return report.sequence == EXPECTED_SEQUENCE


def is_same_target(expected: TargetReport, report: TargetReport) -> bool:
    """Return whether an instance is as it was expected, apart from its state."""
    return (
        expected.pool == report.pool
        and expected.address == report.address
        and expected.capacity == report.capacity
    )
