"""Measures the size of messages that grow with the number of teams."""

from typing import Final

from endivetally_config.operator_config import OperatorConfig
from endivetally_config.operator_config import Service
from endivetally_config.operator_config import ServiceKind
from endivetally_config.operator_config import Team
from endivetally_config.operator_config import encode_config
from endivetally_core.messages import EntryState
from endivetally_core.messages import Frame
from endivetally_core.messages import TextUpdate
from endivetally_core.messages import encode_frame

from endivetally.capacity.fits import Point
from endivetally.capacity.recording import Slope
from endivetally.capacity.recording import make_slope

RUN_NAME: Final = 'messages'
TEAM_COUNTS: Final = (0, 10, 20, 40)
CONFIG_VERSION: Final = 1000
SHARD_MAP_VERSION: Final = 100
# Demand of each team, in tasks per second.
TEAM_TASKS_PER_S: Final = 44.375


async def measure_message_sizes() -> list[Slope]:
    """Measure heartbeats and configuration updates against the number of teams.

    A heartbeat between entries lists the demand of each team. The configuration
    has one service for each team.
    """
    heartbeats = [Point(teams, _heartbeat_bytes(teams)) for teams in TEAM_COUNTS]
    updates = [Point(teams, _config_update_bytes(teams)) for teams in TEAM_COUNTS]
    per_update = 'teams, with a service for each'
    return [
        make_slope('message.entry_state', 'bytes', 'teams', RUN_NAME, heartbeats),
        make_slope('message.text', 'bytes', per_update, RUN_NAME, updates),
    ]


def _config_update_bytes(teams: int) -> int:
    config = OperatorConfig(
        services=tuple(
            Service(f'service-{number:02}', ServiceKind.JOB) for number in range(teams)
        ),
        teams=tuple(
            Team(f'team-{number:02}', f'token-of-team-{number:02}')
            for number in range(teams)
        ),
    )
    update = TextUpdate(CONFIG_VERSION, encode_config(config))
    return len(encode_frame(Frame(CONFIG_VERSION, [update])))


def _heartbeat_bytes(teams: int) -> int:
    usage = {f'team-{number:02}': TEAM_TASKS_PER_S for number in range(teams)}
    state = EntryState('open', usage, SHARD_MAP_VERSION)
    return len(encode_frame(Frame(CONFIG_VERSION, [state])))
