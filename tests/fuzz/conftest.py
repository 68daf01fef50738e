"""Registers the Hypothesis profile of ``make fuzz``, the long run."""

from fuzz.profiles import LONG_EXAMPLES
from hypothesis import HealthCheck
from hypothesis import settings

settings.register_profile(
    'long',
    max_examples=LONG_EXAMPLES,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)
