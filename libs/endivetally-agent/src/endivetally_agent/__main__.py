"""Runs an agent: ``python -m endivetally_agent SETTINGS.json``."""

import asyncio
import logging
import sys
from pathlib import Path

import msgspec
from endivetally_config.settings import AgentSettings

from endivetally_agent.agent import run_agent


def main(arguments: list[str]) -> int:
    """Run an agent with the settings file that is the only argument."""
    if len(arguments) != 1:
        sys.stderr.write('usage: python -m endivetally_agent SETTINGS.json\n')
        return 2
    try:
        settings = msgspec.json.decode(
            Path(arguments[0]).read_bytes(), type=AgentSettings
        )
    except (OSError, msgspec.DecodeError) as error:
        sys.stderr.write(f'{arguments[0]}: {error}\n')
        return 2
    logging.basicConfig(level=settings.log_level)
    asyncio.run(run_agent(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
