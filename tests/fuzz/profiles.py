"""Sizes of the runs."""

from hypothesis import HealthCheck
from hypothesis import settings

LONG_EXAMPLES = 5000
SHORT = settings(
    derandomize=True,
    max_examples=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


def current():
    """Return the settings of the long run, if it was asked for."""
    if settings.default.max_examples == LONG_EXAMPLES:
        return settings.default
    return SHORT
