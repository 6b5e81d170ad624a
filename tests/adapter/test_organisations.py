"""Tests of decoding the organisations of a configuration."""

import msgspec

from vanillayoke.adapter import configuration
from vanillayoke.gateway import dialect
from vanillayoke.gateway import keys
from vanillayoke.standins import calls
from vanillayoke.testing import fixtures


def _decode(organisations):
    route = calls.make_route('look', 'tools', 'safe')
    content = calls.make_configuration(7, [route], organisations=organisations)
    return configuration.decode_configuration(msgspec.json.encode(content))


def _get_error(case, *organisations):
    with case.assertRaises(dialect.BadRowError) as caught:
        _decode(list(organisations))
    return str(caught.exception)


def test_each_key_maps_to_its_organisation(case):
    red = calls.make_organisation('red', 'r1', 'r2', rate=3, burst=4)
    blue = calls.make_organisation('blue', 'b1', priority=2)
    by_key = _decode([red, blue]).organisations
    case.assertEqual(('red', 3.0, 4.0, None), by_key[keys.digest(b'r2')])
    case.assertEqual(('blue', 0.0, 0.0, 2), by_key[keys.digest(b'b1')])


def test_configuration_without_organisations_needs_no_key(case):
    case.assertIsNone(_decode(None).organisations)
    case.assertEqual({}, _decode([]).organisations)


def test_key_of_two_organisations_is_rejected_and_not_shown(case):
    """A key shared by two organisations does not identify either."""
    red = calls.make_organisation('red', 'secret-key')
    blue = calls.make_organisation('blue', 'secret-key')
    error = _get_error(case, red, blue)
    case.assertIn('api_keys', error)
    case.assertIn('blue', error)
    case.assertNotIn('secret-key', error)


def test_duplicate_organisation_names_are_rejected(case):
    red = calls.make_organisation('red', 'r1')
    case.assertIn('red', _get_error(case, red, red | {'api_keys': []}))


def test_error_for_a_negative_limit_names_the_field(case):
    for field in ('rate_per_s', 'burst_size'):
        red = calls.make_organisation('red', 'r1') | {field: -1}
        case.assertIn(f'tenants[0].{field}', _get_error(case, red))


def test_names_that_would_break_a_header_are_rejected(case):
    """A line break in a name would inject a header field at the target."""
    red = calls.make_organisation('red\r\nx: y', 'r1')
    case.assertIn('tenants[0].name', _get_error(case, red))


load_tests = fixtures.adapt(__name__, [])
