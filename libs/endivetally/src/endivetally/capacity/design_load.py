"""The size that the design is for."""

from typing import Final

WORKERS: Final = 1400
STARTS_PER_S: Final = 71_000
MAX_JOB_TASKS: Final = 1800
TEAMS: Final = 40
REGIONS: Final = 2
DATA_CENTRES: Final = 5
CHANGES_PER_DAY: Final = 710
IN_FORCE_S: Final = 5
SLOTS_PER_WORKER: Final = 8
WORKERS_PER_RACK: Final = 3
FAILURES_PER_DAY: Final = 7
REPLACEMENTS_PER_DAY: Final = 210
SECONDS_PER_DAY: Final = 86_400
KEY_RETENTION_S: Final = 900
MEAN_JOB_TASKS: Final = 100
BUSY_SHARE: Final = 0.6
