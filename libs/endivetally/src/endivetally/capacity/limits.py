"""Limits on the resources that the control plane may use."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class ControlLimits:
    """Limits for one entry or agent, and for the table service.

    :param cpu_share: share of one core that the control plane may use.
    :param memory_mb: memory that the control plane may use.
    :param bytes_per_s: traffic of the control plane, sent and received.
    :param table_writes_per_s: writes that the table service accepts, the lower end of
        several hundred per second.
    :param table_reads_per_s: reads that the table service accepts.
    """

    cpu_share: float = 0.02
    memory_mb: float = 32
    bytes_per_s: float = 21_000
    table_writes_per_s: float = 300
    table_reads_per_s: float = 2000


LIMITS: Final = ControlLimits()
