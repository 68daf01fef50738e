"""Processes of a deployment on loopback, for demo, bench and scenarios."""

from endivetally.fleet.fleet import Fleet

__all__ = ('Fleet',)
