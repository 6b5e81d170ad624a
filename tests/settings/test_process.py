"""Tests of process settings files."""

import copy
import json

from tests.settings import folders
from vanillayoke.settings import checks
from vanillayoke.settings import loading
from vanillayoke.testing import fixtures

_GOOD = {
    'instance': {
        'name': 'i-1',
        'zone': 'a',
        'region': 'r',
        'entry_address': '127.0.0.1:7001',
        'peer_address': '127.0.0.1:7002',
    },
    'platform': {
        'table': 'http://127.0.0.1:8500',
        'objects': 'http://127.0.0.1:8500/objects',
        'weights': 'https://[::1]:8500',
        'instances': 'http://127.0.0.1:8500',
    },
    'operator_key': 'k' * 16,
}
_INVALID = (
    (('probe', 'interval'), 0, 'E301'),
    (('lease', 'margin'), -1, 'E301'),
    (('timeline_events',), 0, 'E301'),
    (('probe', 'indirect'), -1, 'E302'),
    (('entry', 'drain_grace'), -0.5, 'E302'),
    (('instance', 'peer_address'), '10.0.0.1', 'E303'),
    (('instance', 'entry_address'), 'host:80', 'E303'),
    (('instance', 'name'), ' ', 'E304'),
    (('store', 'unavailable'), 'hope', 'E305'),
    (('instance', 'entry_listen'), '0.0.0.0', 'E306'),
    (('platform', 'table'), '127.0.0.1:8500', 'E307'),
    (('platform', 'objects'), 'http://store:8500', 'E307'),
    (('platform', 'weights'), 'http://u:p@127.0.0.1:8500', 'E307'),
    (('platform', 'instances'), 'http://127.0.0.1:8500/?a=1', 'E307'),
    (('platform', 'table'), 'http://[::1:8500', 'E307'),
    (('instance', 'peer_address'), '127.0.0.1:7001', 'E308'),
    (('lease', 'margin'), 3.0, 'E309'),
    (('platform', 'timeout'), 3.0, 'E310'),
    (('operator_key',), 'guess-me', 'E311'),
    (('signing',), {'key_id': 'a'}, 'E312'),
    (('signing',), {'secret': 'x' * 32}, 'E312'),
    (('signing',), {'key_id': 'a', 'secret': 'short'}, 'E312'),
    (('operator_key',), '', 'W301'),
    (('instance', 'name'), 7, 'E010'),
    (('instance', 'nmae'), 'i-1', 'E011'),
    (('instance',), {}, 'E012'),
)


def _write(folder, settings) -> str:
    return str(folder.write('p.json', json.dumps(settings, indent=1)))


def _change(path, value):
    changed = copy.deepcopy(_GOOD)
    section = changed
    for part in path[:-1]:
        section = section.setdefault(part, {})
    section[path[-1]] = value
    return changed


def test_valid_file_is_loaded(case, folder):
    settings = {'$schema': 'process.schema.json', **_GOOD}
    loaded = loading.inspect_process_settings(_write(folder, settings))
    case.assertEqual((), loaded.faults)
    case.assertEqual('i-1', loaded.settings.instance.name)
    file = _write(folder, _GOOD)
    case.assertEqual(loaded.settings, loading.load_process_settings(file))


def test_each_invalid_value_is_reported(case, folder):
    for path, value, id in _INVALID:
        file = _write(folder, _change(path, value))
        faults = loading.inspect_process_settings(file).faults
        ids = {fault.rule.id for fault in faults}
        case.assertEqual({f'settings.{id}'}, ids, path)


def test_every_rule_of_process_settings_is_tested(case):
    tested = {f'settings.{id}' for _, _, id in _INVALID}
    rules = {rule.id for rule in checks.list_rules()}
    process_rules = {id for id in rules if id[9:11] in ('E3', 'W3')}
    case.assertEqual(set(), process_rules - tested)


def test_keys_are_not_repeated_in_faults(case, folder):
    file = _write(folder, _change(('operator_key',), 'guess-me'))
    (fault,) = loading.load_process_settings(file)
    case.assertNotIn('guess-me', fault.describe())


def test_missing_file_is_a_fault(case):
    (fault,) = loading.load_process_settings('/nowhere/p.json')
    case.assertEqual('settings.E001', fault.rule.id)


load_tests = fixtures.adapt(__name__, [folders])
