"""Entry point of ``python -m endivetally``."""

from endivetally.cli import app

if __name__ == '__main__':
    app(prog_name='endivetally')
