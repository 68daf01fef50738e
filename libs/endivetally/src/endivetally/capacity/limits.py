"""ControlLimits on what control may take."""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True, slots=True)
class ControlLimits:
    """What one node may spend on control, and what the table service takes.

    :param table_writes_per_s: lower end of several hundred.
    """

    cpu_share: float = 0.02
    memory_mb: float = 32
    bytes_per_s: float = 21_000
    table_writes_per_s: float = 300
    table_reads_per_s: float = 2000


LIMITS: Final = ControlLimits()
