"""Tests that the reference page agrees with the code."""

import pathlib
import re

from vanillayoke.entry import app
from vanillayoke.entry import reference
from vanillayoke.testing import fixtures

_PAGE = (
    pathlib.Path(__file__).parents[2] / 'docs' / 'reference' / 'http-api.md'
)


def test_page_holds_the_current_error_table(case):
    page = _PAGE.read_text()
    case.assertEqual(page, reference.replace_errors(page))


def test_page_names_every_path(case):
    page = _PAGE.read_text()
    for route in app.ROUTES:
        path = re.sub(r':[^{}]+\{[0-9,]+\}', '', route.path)
        case.assertIn(f'`{route.method} {path}', page)


def test_page_without_marks_is_refused(case):
    with case.assertRaises(ValueError):
        reference.replace_errors('# HTTP API\n')


load_tests = fixtures.adapt(__name__)
