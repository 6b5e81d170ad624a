"""Tests of reading and merging the files of a folder."""

import os

from tests.settings import folders
from vanillayoke.settings import folder as settings_folder
from vanillayoke.settings import loading
from vanillayoke.testing import fixtures


def _list_faults(folder) -> list[tuple[str, str, int]]:
    loaded = loading.load_configuration(folder.path)
    return [
        (fault.rule.id, os.path.basename(fault.place.file), fault.place.line)
        for fault in loaded.faults
        if not fault.is_warning
    ]


def test_later_file_wins_and_maps_merge(case, good):
    good.write('20-more.json', '{"agents": {"board": {"max_tokens": 7}}}')
    good.write('15-less.json', '{"agents": {"board": {"max_tokens": 5}}}')
    agent = loading.load_configuration(good.path).configuration.agents['board']
    case.assertEqual(7, agent.max_tokens)
    case.assertEqual('mm', agent.model)
    case.assertEqual(('stock',), agent.tools)


def test_list_is_replaced_whole(case, good):
    good.write('20.json', '{"agents": {"board": {"tools": []}}}')
    loaded = loading.load_configuration(good.path)
    case.assertEqual((), loaded.configuration.agents['board'].tools)


def test_null_removes(case, good):
    good.write('20.json', '{"clients": {"shop": null}}')
    loaded = loading.load_configuration(good.path)
    case.assertEqual({}, loaded.configuration.clients)


def test_removal_of_absent_is_a_fault(case, good):
    good.write('20.json', '{\n"clients": {\n"shoq": null}}')
    case.assertEqual([('settings.E009', '20.json', 3)], _list_faults(good))


def test_removed_required_field_is_reported_where_removed(case, good):
    good.write('20.json', '{"agents":\n {"board": {"model": null}}}')
    case.assertEqual([('settings.E012', '20.json', 2)], _list_faults(good))


def test_removed_entry_may_be_added_again(case, good):
    good.write('20.json', '{"clients": {"shop": null}}')
    good.write('30.json', '{"clients": {"shop": {"key_hashes": []}}}')
    loaded = loading.load_configuration(good.path)
    case.assertEqual((), loaded.configuration.clients['shop'].key_hashes)


def test_hidden_and_backup_files_are_ignored(case, good):
    for name in ('.20.json', '20.json~', '20.json.bak', '#20.json#', 'a.md'):
        good.write(name, 'not JSON')
    case.assertEqual([], _list_faults(good))


def test_link_to_a_file_is_read_under_its_own_name(case, good):
    other = good.write('.kept', '{"agents": {"board": {"max_tokens": 9}}}')
    os.symlink(other, good.path / '20.json')
    loaded = loading.load_configuration(good.path)
    case.assertEqual(9, loaded.configuration.agents['board'].max_tokens)


def test_other_files_are_faults(case, good):
    os.symlink(good.path / 'nowhere', good.path / '20.json')
    os.mkfifo(good.path / '30.json')
    os.mkdir(good.path / '40.json')
    good.write('50.jsn', '{}')
    good.write('60\n.json', '{}')
    good.write('70.json', b' ' * (settings_folder.MAX_FILE_BYTES + 1))
    case.assertEqual(
        [
            ('settings.E001', '20.json', 0),
            ('settings.E008', '30.json', 0),
            ('settings.E008', '40.json', 0),
            ('settings.E008', '50.jsn', 0),
            ('settings.E008', '60\\n.json', 0),
            ('settings.E014', '70.json', 0),
        ],
        _list_faults(good),
    )


def test_place_of_invalid_utf_8_counts_lines_like_editors(case, good):
    good.write('20.json', '{\r\n// \u2028 \x85\r"a'.encode() + b'\xff')
    case.assertEqual([('settings.E002', '20.json', 3)], _list_faults(good))


def test_empty_and_absent_folders_are_faults(case, folder):
    name = os.path.basename(folder.path)
    case.assertEqual([('settings.E007', name, 0)], _list_faults(folder))
    os.rmdir(folder.path)
    case.assertEqual([('settings.E001', name, 0)], _list_faults(folder))
    os.mkdir(folder.path)


def test_broken_file_does_not_hide_faults_of_other_files(case, good):
    good.write('20.json', '{"agents": }')
    good.write('30.json', '{"policy": {"urgent_reserve": 2}}')
    case.assertEqual(
        [('settings.E003', '20.json', 1), ('settings.E106', '30.json', 1)],
        _list_faults(good),
    )


def test_names_of_broken_file_are_not_reported_as_unknown(case, good):
    """One syntax error causes many further faults.

    Names that the broken file defines are reported as unknown elsewhere.
    """
    good.write('20.json', '{"models": {"second": {}}} oops')
    good.write(
        '30.json',
        '{"agents": {"n": {"model": "second"}, "later": {}, "gone": null}}',
    )
    case.assertEqual([('settings.E003', '20.json', 1)], _list_faults(good))


load_tests = fixtures.adapt(__name__, [folders])
