"""Demonstration: a small fleet on loopback serves example requests."""
