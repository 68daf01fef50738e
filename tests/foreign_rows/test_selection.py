"""Rows of other writers name no process to use, and those of processes hold."""

import json

import pytest
from endivetally_held.discovery import STALE_AFTER_S
from endivetally_table.table import Row
from foreign_rows.contents import AGENT_FIELDS
from foreign_rows.contents import CONTENTS
from foreign_rows.contents import KEYS
from held.test_discovery import create_rows
from held.test_discovery import create_selector
from held.test_discovery import entry_row

# Valid rows of agents; at most their host is of no use.
VALID = {'agent', 'name long', 'unknown field nested'}
VALID.update(name for name in CONTENTS if name.startswith('host '))
VALID.remove('host number')
MALFORMED = {name: CONTENTS[name] for name in CONTENTS if name not in VALID}

each_content = pytest.mark.parametrize('content', CONTENTS.values(), ids=CONTENTS)


def add_row(rows, key, content, version=1):
    rows[key] = Row(key, content, version)


@each_content
def test_rows_that_name_no_entry_take_no_place_of_an_entry(content):
    """Six such rows left an agent without an entry, and an entry without agents."""
    rows = create_rows(20, 2)
    for number in range(6):
        add_row(rows, f'entries/odd-{number}', content)
    assert [len(create_selector(number).select(rows)) for number in (0, 1)] == [20, 20]


@each_content
def test_a_row_that_overwrites_that_of_an_entry_does_not_renew_it(content):
    """The entry keeps its place until its own last row is too old."""
    now = [0.0]
    selector = create_selector(clock=lambda: now[0])
    rows = create_rows(60, 8)
    selected = selector.select(rows)
    add_row(rows, 'entries/entry-3', content, 2)
    assert selector.select(rows) == selected
    now[0] = STALE_AFTER_S + 1
    for number in (1, 2, 4, 5, 6, 7):
        rows[f'entries/entry-{number}'] = entry_row(number, version=2)
    without = {key: row for key, row in rows.items() if key != 'entries/entry-3'}
    assert selector.select(rows) == create_selector().select(without) != selected


@pytest.mark.parametrize('content', MALFORMED.values(), ids=MALFORMED)
def test_an_agent_whose_row_is_overwritten_stays_selected(content):
    """Each entry closed its connection to the agent for good."""
    selector = create_selector()
    rows = create_rows(20, 2)
    selected = selector.select(rows)
    add_row(rows, 'agents/10.0.0.3:7720', content, 2)
    assert selector.select(rows) == selected
    rows['entries/entry-2'] = entry_row(2)
    assert selector.select(rows) == selected
    restarted = {**AGENT_FIELDS, 'address': {'host': '10.0.0.3', 'port': 7721}}
    add_row(rows, 'agents/10.0.0.3:7720', json.dumps(restarted).encode(), 3)
    assert len(selector.select(rows) - selected) == 1


@pytest.mark.parametrize('key', ['entries/odd', 'agents/odd'])
def test_a_row_that_is_ignored_is_logged_once(key):
    selector = create_selector()
    rows = create_rows(2, 2)
    add_row(rows, key, b'[')
    for version in range(1, 4):
        rows['entries/entry-1'] = entry_row(1, version)
        selector.select(rows)
        rows[f'entries/entry-{version + 1}'] = entry_row(version + 1)
        selector.select(rows)
    assert selector._events.event_counts['row_ignored'] == 1


@pytest.mark.parametrize('key', KEYS)
@pytest.mark.parametrize('content', [b'[', json.dumps(AGENT_FIELDS).encode()])
def test_odd_keys_take_no_place_and_hide_no_agent(key, content):
    rows = create_rows(20, 2)
    valid = create_selector().select(rows)
    add_row(rows, key, content)
    selected = create_selector().select(rows)
    assert selected >= valid
    assert len(selected) <= len(valid) + 1
