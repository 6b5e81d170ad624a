"""Tests that broken folders are rejected with the right file and line."""

import os

from tests.settings import broken
from tests.settings import folders
from vanillayoke.settings import checks
from vanillayoke.settings import loading
from vanillayoke.testing import fixtures


def _check(case, good, broken_folder):
    good.write(broken.CHANGED_FILE, broken_folder.text)
    loaded = loading.load_configuration(good.path)
    found = [
        (fault.rule.id, os.path.basename(fault.place.file), fault.place.line)
        for fault in loaded.faults
        if not fault.is_warning
    ]
    text = broken_folder.text.decode('latin-1')
    case.assertEqual(
        [(broken_folder.id, broken_folder.file, broken_folder.line)],
        found,
        text,
    )
    case.assertIsNone(loaded.configuration)


def test_handwritten_broken_folders_are_rejected(case, good):
    for broken_folder in broken.list_handwritten():
        _check(case, good, broken_folder)


def test_generated_broken_folders_are_rejected(case, good):
    generated = broken.generate()
    case.assertEqual(broken.GENERATED, len(generated))
    for broken_folder in generated:
        _check(case, good, broken_folder)


def test_there_are_200_broken_folders(case):
    count = broken.GENERATED + len(set(broken.list_handwritten()))
    case.assertGreaterEqual(count, 200)


def test_every_rule_of_folders_has_a_broken_folder(case):
    tested = {broken_folder.id for broken_folder in broken.list_handwritten()}
    tested |= {broken_folder.id for broken_folder in broken.generate()}
    # Faults of files and folders are tested in test_folder.
    tested |= {f'settings.E{n:03}' for n in (1, 7, 8, 14)}
    rules = {rule.id for rule in checks.list_rules()}
    folder_rules = {
        id for id in rules if not id.startswith(('settings.E3', 'settings.W'))
    }
    case.assertEqual(set(), folder_rules - tested)


load_tests = fixtures.adapt(__name__, [folders])
