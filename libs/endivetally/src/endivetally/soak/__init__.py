"""Random faults from outside against the real programs, with their promises checked."""

from endivetally.soak.report import SoakReport
from endivetally.soak.run import SoakSize
from endivetally.soak.run import run_soak

__all__ = ('SoakReport', 'SoakSize', 'run_soak')
