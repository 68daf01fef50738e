"""Runs an agent: ``python -m endivetally_agent SETTINGS.json``."""

import asyncio
import sys
from typing import Final

from endivetally_config.checks import load_settings
from endivetally_config.exceptions import SettingsInvalid
from endivetally_config.settings import AgentSettings
from endivetally_core.logs import configure_logging

from endivetally_agent.agent import run_agent

EXIT_FAILURE: Final = 1
EXIT_USAGE: Final = 2


def main(arguments: list[str]) -> int:
    """Run an agent; the only argument is the path of its settings file."""
    if len(arguments) != 1:
        sys.stderr.write('usage: python -m endivetally_agent SETTINGS.json\n')
        return EXIT_USAGE
    try:
        settings = load_settings(arguments[0], AgentSettings)
    except SettingsInvalid as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    configure_logging(settings.name, settings.log_level)
    try:
        asyncio.run(run_agent(settings))
    except OSError as error:
        sys.stderr.write(f'{settings.listen}: {error.strerror}\n')
        return EXIT_FAILURE
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
