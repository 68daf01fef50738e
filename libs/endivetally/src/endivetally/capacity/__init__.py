"""Extrapolates the cost of the control plane to the design load.

The measurements determine how processor time, memory and traffic grow with the
number of agents, entries and tasks. The capacity page is computed from these slopes.
"""

from endivetally.capacity.fits import Fit
from endivetally.capacity.fits import Point
from endivetally.capacity.fits import fit_line
from endivetally.capacity.recording import MemoryFloor
from endivetally.capacity.recording import Recording
from endivetally.capacity.recording import Slope
from endivetally.capacity.recording import load_recording

__all__ = (
    'Fit',
    'MemoryFloor',
    'Point',
    'Recording',
    'Slope',
    'fit_line',
    'load_recording',
)
