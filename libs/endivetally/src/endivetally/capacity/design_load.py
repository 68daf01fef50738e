"""Fleet size and load that the service is designed for.

The capacity page extrapolates the measured slopes to these figures.
"""

from typing import Final

WORKERS: Final = 1400
TASK_STARTS_PER_S: Final = 71_000
MAX_JOB_TASKS: Final = 1800
TEAMS: Final = 40
REGIONS: Final = 2
DATA_CENTRES: Final = 5
CONFIG_CHANGES_PER_DAY: Final = 710
# Time within which a change of the configuration has to be in force everywhere.
CONFIG_PROPAGATION_LIMIT_S: Final = 5
SLOTS_PER_WORKER: Final = 8
WORKERS_PER_RACK: Final = 3
# Workers that fail, and workers that are replaced.
FAILURES_PER_DAY: Final = 7
REPLACEMENTS_PER_DAY: Final = 210
SECONDS_PER_DAY: Final = 86_400
# How long an idempotency key is remembered.
KEY_RETENTION_S: Final = 900
# Assumed average number of tasks per job.
MEAN_JOB_TASKS: Final = 100
# Share of its core that an entry uses at the peak; the rest is headroom for bursts
# and for the loss of one data centre.
PEAK_UTILISATION: Final = 0.6
