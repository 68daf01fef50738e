"""The ``endivetally`` command line: its commands and how they are loaded."""

import importlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any
from typing import Final

import typer
from typer.core import TyperGroup

EPILOG: Final = (
    'Exit codes: 0 done, 1 a check failed or the call was refused, 2 wrong usage, '
    '3 no answer or the platform is down, 4 conflict with another submission.'
)

# Module of each command, with a Typer application named ``app``. A module is only
# imported when its command is called, so that a daemon does not load the reports.
COMMANDS: Final[Mapping[str, str]] = MappingProxyType(
    {
        'serve': 'endivetally.commands.serve',
        'config': 'endivetally.commands.config',
        'status': 'endivetally.commands.status',
        'report': 'endivetally.commands.report',
        'demo': 'endivetally.demo.command',
        'bench': 'endivetally.bench.command',
        'capacity': 'endivetally.commands.capacity',
        'explain': 'endivetally.commands.explain',
        'scenario': 'endivetally.scenarios.command',
        'soak': 'endivetally.commands.soak',
    },
)


class LazyGroup(TyperGroup):
    """Command group that imports the module of a command on first use."""

    def list_commands(self, ctx: Any) -> list[str]:
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Import and return a command; ``None`` if the name is unknown."""
        module_name = COMMANDS.get(cmd_name)
        if module_name is None:
            return None
        command = typer.main.get_command(importlib.import_module(module_name).app)
        command.name = cmd_name
        return command


app = typer.Typer(
    cls=LazyGroup,
    no_args_is_help=True,
    add_completion=False,
    epilog=EPILOG,
)


@app.callback()
def _endivetally() -> None:
    """A dispatcher for sub-second tasks."""
