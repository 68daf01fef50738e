"""Runs a deployment on loopback, for the demo, the benchmark and scenarios."""

from endivetally.fleet.fleet import Fleet

__all__ = ('Fleet',)
