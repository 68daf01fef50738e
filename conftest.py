"""Marks the tests listed in KNOWN-RED.txt as expected failures and prints them."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def read_known_failures():
    """Return the identifiers of the tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test:').strip() for line in lines if line.startswith('test:')
    }


def pytest_collection_modifyitems(items):
    """Run the listed tests without failing the session when they fail."""
    known_failures = read_known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt', strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    for name in sorted(read_known_failures()):
        terminalreporter.write_line(f'known red: {name}')
