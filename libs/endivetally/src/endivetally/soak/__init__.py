"""Soak test: random faults against the real programs, with checks of guarantees."""

from endivetally.soak.report import SoakReport
from endivetally.soak.run import SoakSize
from endivetally.soak.run import run_soak

__all__ = ('SoakReport', 'SoakSize', 'run_soak')
