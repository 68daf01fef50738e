"""Hypothesis settings of the short run in CI and of the long run."""

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
    """Return the settings of the long run if its profile is loaded, else the short."""
    if settings.default.max_examples == LONG_EXAMPLES:
        return settings.default
    return SHORT
