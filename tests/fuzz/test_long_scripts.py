"""Long scripts of requests and faults: 40 in CI, 5000 at random by ``make fuzz``.

The examples of CI are seeded with the source of the test function, its name
included: an edit of the function changes them.
"""

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
