"""Runs an entry: ``python -m endivetally_entry SETTINGS.json``."""

import sys
from pathlib import Path

from endivetally_config.checks import load_settings
from endivetally_config.exceptions import SettingsInvalid
from endivetally_config.settings import EntrySettings

from endivetally_entry import run_entry
from endivetally_entry.lifecycle import EXIT_USAGE


def main() -> int:
    """Run an entry with the settings file given as the only argument.

    :returns: exit code of the process.
    """
    if len(sys.argv) != 2:
        sys.stderr.write('usage: python -m endivetally_entry SETTINGS.json\n')
        return EXIT_USAGE
    try:
        settings = load_settings(Path(sys.argv[1]), EntrySettings)
    except SettingsInvalid as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_USAGE
    return run_entry(settings)


if __name__ == '__main__':
    sys.exit(main())
