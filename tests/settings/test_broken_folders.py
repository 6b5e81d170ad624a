"""Tests that broken folders are rejected at the right file and line."""

import os

from tests.settings import broken
from tests.settings import folders
from vanillayoke.settings import checks
from vanillayoke.settings import loading
from vanillayoke.testing import fixtures


def _check(case, good, one):
    good.write(broken.CHANGED, one.text)
    loaded = loading.load_configuration(good.path)
    found = [
        (fault.rule.id, os.path.basename(fault.place.file), fault.place.line)
        for fault in loaded.faults
        if not fault.is_warning
    ]
    text = one.text.decode('latin-1')
    case.assertEqual([(one.id, one.file, one.line)], found, text)
    case.assertIsNone(loaded.configuration)


def test_folders_broken_by_hand_are_rejected(case, good):
    for one in broken.list_by_hand():
        _check(case, good, one)


def test_generated_broken_folders_are_rejected(case, good):
    drawn = broken.generate()
    case.assertEqual(broken.GENERATED, len(drawn))
    for one in drawn:
        _check(case, good, one)


def test_there_are_200_broken_folders(case):
    number = broken.GENERATED + len(set(broken.list_by_hand()))
    case.assertGreaterEqual(number, 200)


def test_every_rule_of_folders_has_a_broken_folder(case):
    tested = {one.id for one in broken.list_by_hand()}
    tested |= {one.id for one in broken.generate()}
    # Faults of the folder itself, tested in test_folder.
    tested |= {f'settings.E{n:03}' for n in (1, 7, 8, 14)}
    rules = {rule.id for rule in checks.list_rules()}
    folder_rules = {
        id for id in rules if not id.startswith(('settings.E3', 'settings.W'))
    }
    case.assertEqual(set(), folder_rules - tested)


load_tests = fixtures.adapt(__name__, [folders])
