"""Contents, keys and reports that another writer may leave among those of workers."""

import json

AGENT_FIELDS = {
    'name': 'agent-x',
    'incarnation': 'agent-x.1',
    'data_centre': 'north',
    'address': {'host': '127.255.255.1', 'port': 7720},
}
ENTRY_FIELDS = {'name': 'entry-x', 'incarnation': 'entry-x.1', 'renewed': 0}
DEPTH = 50_000
LONG = 100_000


def nest(depth=DEPTH):
    """Return deeply nested JSON."""
    return '[' * depth + ']' * depth


def insert(fields, path, inserted):
    """Return JSON in which the value of a field is other JSON, as text.

    :param path: names of the field and of those around it.
    """
    copied = json.loads(json.dumps(fields))
    owner = copied
    for name in path[:-1]:
        owner = owner[name]
    owner[path[-1]] = '@'
    return json.dumps(copied).replace('"@"', inserted).encode()


def agent(path, inserted):
    return insert(AGENT_FIELDS, path, inserted)


def port(inserted):
    return agent(('address', 'port'), inserted)


def host(text):
    return agent(('address', 'host'), json.dumps(text))


CONTENTS = {
    'empty': b'',
    'no UTF-8': b'\xff\xfe\x00',
    'lone quote': b'"',
    'null': b'null',
    'true': b'true',
    'number': b'7',
    'infinite': b'1e999',
    'NaN': b'NaN',
    'text': b'"text"',
    'list': b'[]',
    'object': b'{}',
    'open list': b'[',
    'open lists': b'[' * DEPTH,
    'nested lists': nest().encode(),
    'nested objects': (b'{"a":' * DEPTH) + b'1' + (b'}' * DEPTH),
    'nested in a list of rows': f'[{nest()}]'.encode(),
    'unknown field nested': agent(('other',), nest()),
    'address nested': agent(('address',), nest()),
    'name nested': agent(('name',), nest()),
    'port -1': port('-1'),
    'port 70,000': port('70000'),
    'port 65,536': port('65536'),
    'port of 400 digits': port('9' * 400),
    'port of 5,000 digits': port('9' * 5000),
    'port infinite': port('1e999'),
    'port broken': port('7720.5'),
    'port text': port('"7720"'),
    'port null': port('null'),
    'port missing': agent(('address',), '{"host": "127.255.255.1"}'),
    'host empty': host(''),
    'host with empty label': host('a..b'),
    'host with zero byte': host('\x00'),
    'host with line break': host('a\r\nb'),
    'host without encoding': host('\udcff'),
    'host of accents': host('é' * 80),
    'host of 300': host('a' * 300),
    'host with port': host('127.255.255.1:80'),
    'host number': agent(('address', 'host'), '7'),
    'name missing': b'{"incarnation": "a", "data_centre": "north"}',
    'name number': agent(('name',), '3'),
    'name long': agent(('name',), json.dumps('n' * LONG)),
    'unknown field long': agent(('address', 'x' * LONG), '1'),
    'entry renewed -1': insert(ENTRY_FIELDS, ('renewed',), '-1'),
    'entry renewed infinite': insert(ENTRY_FIELDS, ('renewed',), '1e999'),
    'entry renewed text': insert(ENTRY_FIELDS, ('renewed',), '"1"'),
    'entry without incarnation': b'{"name": "entry-x", "renewed": 0}',
    'entry of another key': json.dumps(ENTRY_FIELDS).encode(),
    'agent': json.dumps(AGENT_FIELDS).encode(),
}

# Keys without meaning, also such that are prefixes of keys with one.
KEYS = (
    'agents',
    'agents/',
    'agents//',
    'agents/a:b:c',
    'agents/127.255.255.1:70000',
    'agents/\x00',
    'agents/é',
    'entries',
    'entries/',
    'entries//',
    'entries/\x00',
    'entries/é',
    'other/127.255.255.1:7720',
    'a' * 200,
)
