"""Command line of endivetally."""

import typer

app = typer.Typer(no_args_is_help=True, help='A dispatcher for sub-second tasks.')
serve = typer.Typer(no_args_is_help=True, help='Run a daemon.')
app.add_typer(serve, name='serve')


@serve.callback()
def _serve() -> None:
    """Run a daemon."""
