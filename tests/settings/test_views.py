"""Tests of differences, origins, encodings and schemas."""

import json

import msgspec

from tests.settings import folders
from vanillayoke.settings import configuration
from vanillayoke.settings import differences
from vanillayoke.settings import loading
from vanillayoke.settings import origins
from vanillayoke.settings import process
from vanillayoke.settings import schema
from vanillayoke.testing import fixtures


def _load(folder):
    return loading.load_configuration(folder.path)


def test_differences_name_added_removed_and_changed(case, good):
    old = _load(good).configuration
    good.write('20.json', '{"agents": {"board": {"max_tokens": 9}}}')
    good.write('21.json', '{"agents": {"new": {"model": "mm"}}}')
    good.write('22.json', '{"clients": {"shop": null}}')
    found = differences.compare(old, _load(good).configuration)
    lines = [differences.format_difference(difference) for difference in found]
    case.assertEqual('~ agents.board.max_tokens: 512 -> 9', lines[0])
    case.assertTrue(lines[1].startswith('+ agents.new: {"model": "mm"'))
    case.assertTrue(lines[2].startswith('- clients.shop: {"key_hashes"'))
    case.assertEqual(3, len(lines))
    dumped = differences.dump_differences(found)
    case.assertEqual(
        {'path': 'agents.board.max_tokens', 'old': 512, 'new': 9}, dumped[0]
    )
    case.assertNotIn('new', dumped[2])


def test_same_configuration_has_no_differences(case, good):
    made = _load(good).configuration
    case.assertEqual([], differences.compare(made, made))


def test_origins_name_the_last_file_that_sets_a_value(case, good):
    good.write('20.json', '{"agents": {\n"board": {"model": "mm"}}}')
    found = {
        origin.path: (origin.place.file.rpartition('/')[2], origin.place.line)
        for origin in origins.list_origins(_load(good).tree)
    }
    path = ('agents', 'board', 'model')
    case.assertEqual(('20.json', 2), found[path])
    case.assertEqual((folders.BASE, 3), found[('agents', 'board', 'tools')])


def test_published_configuration_is_encoded_and_decoded(case, good):
    published = configuration.PublishedConfiguration(
        version=3, author='ann', configuration=_load(good).configuration
    )
    blob = configuration.encode_published(published)
    case.assertEqual(published, configuration.decode_published(blob))
    case.assertEqual(published, configuration.decode_row(blob))
    pointer = configuration.PublishedPointer(version=3, author='a', key='k')
    blob = configuration.encode_published(pointer)
    case.assertEqual(pointer, configuration.decode_row(blob))
    with case.assertRaises(msgspec.DecodeError):
        configuration.decode_published(blob)


def test_folder_schema_requires_nothing_and_allows_removal(case):
    made = schema.make_folder_schema()
    for definition in made['$defs'].values():
        case.assertNotIn('required', definition)
        for name, field in definition['properties'].items():
            case.assertIn({'type': 'null'}, field['anyOf'], name)
    kind = made['$defs']['TargetSettings']['properties']['kind']
    allowed = list(configuration.TARGET_KINDS)
    case.assertEqual(allowed, kind['anyOf'][0]['enum'])


def test_process_schema_keeps_what_is_required(case):
    made = schema.make_process_schema()
    definition = made['$defs']['ProcessSettings']
    case.assertEqual(['instance', 'platform'], definition['required'])
    store = made['$defs']['StoreSettings']['properties']
    case.assertEqual(list(process.UNAVAILABLE), store['unavailable']['enum'])
    json.dumps(made)


load_tests = fixtures.adapt(__name__, [folders])
