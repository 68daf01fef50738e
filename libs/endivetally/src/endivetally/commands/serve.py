"""The ``endivetally serve`` commands, which run an entry or an agent."""

import importlib
import pathlib
from typing import Annotated

import typer
from endivetally_config.checks import load_settings
from endivetally_config.settings import AgentSettings
from endivetally_config.settings import EntrySettings

from endivetally.commands.common import exit_on_errors

SettingsOption = Annotated[
    pathlib.Path,
    typer.Option('--settings', metavar='FILE', help='Settings of the daemon in JSON.'),
]

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _serve() -> None:
    """Run a daemon until SIGTERM, on which it drains and exits."""


@app.command('entry')
def serve_entry(settings: SettingsOption) -> None:
    """Run an entry, which serves the requests of callers and operators."""
    with exit_on_errors():
        loaded = load_settings(settings, EntrySettings)
    raise typer.Exit(importlib.import_module('endivetally_entry').run_entry(loaded))


@app.command('agent')
def serve_agent(settings: SettingsOption) -> None:
    """Run an agent on the worker of its target.

    ``python -m endivetally_agent FILE`` does the same and needs less memory.
    """
    with exit_on_errors():
        load_settings(settings, AgentSettings)
    daemon = importlib.import_module('endivetally_agent.__main__')
    raise typer.Exit(daemon.main([str(settings)]))
