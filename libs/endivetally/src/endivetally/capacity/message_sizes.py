"""Sizes of encoded control messages."""

from typing import Final

from endivetally_core.messages import EntryState
from endivetally_core.messages import Frame
from endivetally_core.messages import encode_frame

from endivetally.capacity.fits import Point
from endivetally.capacity.recording import Slope
from endivetally.capacity.recording import make_slope

TEAM_COUNTS: Final = (0, 10, 20, 40)
TEXT_VERSION: Final = 1000
MAP_VERSION: Final = 100
TASKS_PER_S: Final = 44.375


async def measure_message_sizes() -> list[Slope]:
    """Encode the heartbeat between entries with the demand of more teams."""
    points = [Point(teams, _heartbeat_bytes(teams)) for teams in TEAM_COUNTS]
    return [make_slope('message.entry_state', 'bytes', 'teams', 'messages', points)]


def _heartbeat_bytes(teams: int) -> int:
    usage = {f'team-{number:02}': TASKS_PER_S for number in range(teams)}
    state = EntryState('open', usage, MAP_VERSION)
    return len(encode_frame(Frame(TEXT_VERSION, [state])))
