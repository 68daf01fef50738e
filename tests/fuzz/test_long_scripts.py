"""Long interleavings: a few in CI, thousands at random by ``make fuzz``."""

from differential.test_differential import BOOK
from differential.test_differential import STEP
from differential.test_differential import play
from fuzz.profiles import current
from hypothesis import given
from hypothesis import strategies as st


@current()
@given(book=BOOK, script=st.lists(STEP, min_size=20, max_size=80))
def test_only_allowed_differences(book, script):
    assert play(book, script).faults == []
