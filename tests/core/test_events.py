"""Tests of the event catalogue, its page and its use by all libraries."""

import ast
import pathlib

from vanillayoke.core import events
from vanillayoke.core import reference
from vanillayoke.testing import fixtures

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGES = ROOT / 'docs' / 'reference'
CLIENT_TEXT = {
    'answer',
    'arguments',
    'authorization',
    'body',
    'content',
    'key',
    'message',
    'messages',
    'password',
    'secret',
    'text',
}
WRITTEN_WITH_EVERY_LINE = {
    'hybrid',
    'instance',
    'level',
    'message_type',
    'number',
    'task_level',
    'task_uuid',
    'timestamp',
}


def _list_writes() -> list[tuple[str, str, set[str]]]:
    """Return place, event name and fields of each write in the libraries."""
    found = []
    for path in sorted((ROOT / 'libs').rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            name = _find_event_name(node)
            if name is not None:
                given = {str(keyword.arg) for keyword in node.keywords}
                found.append((f'{path.name}:{node.lineno}', name, given))
    return found


def _find_event_name(node: ast.AST) -> str | None:
    if not isinstance(node, ast.Call) or not node.args:
        return None
    first = node.args[0]
    if (
        isinstance(node.func, ast.Attribute)
        and node.func.attr == 'write'
        and isinstance(first, ast.Attribute)
        and isinstance(first.value, ast.Name)
        and first.value.id == 'events'
    ):
        return first.attr
    return None


def test_texts_name_only_fields_of_their_event(case):
    for event in events.list_events():
        given = dict.fromkeys(event.fields, 'x')
        with case.subTest(event.name):
            event.text.format_map(given)


def test_no_event_has_a_field_for_client_text(case):
    for event in events.list_events():
        with case.subTest(event.name):
            case.assertFalse(CLIENT_TEXT & set(event.fields))


def test_no_field_collides_with_those_of_every_line(case):
    for event in events.list_events():
        with case.subTest(event.name):
            case.assertFalse(WRITTEN_WITH_EVERY_LINE & set(event.fields))


def test_every_event_belongs_to_a_group(case):
    page = reference.render_events()
    for event in events.list_events():
        case.assertIn(f'| {event.number} | `{event.name}` |', page)


def test_names_are_used_once(case):
    names = [event.name for event in events.list_events()]
    case.assertEqual(len(set(names)), len(names))


def test_numbers_find_their_event(case):
    case.assertIs(events.FENCED, events.find_event(203))
    case.assertIsNone(events.find_event(99999))


def test_written_pages_agree_with_the_code(case):
    case.assertEqual(
        reference.render_events(), (PAGES / 'events.md').read_text()
    )
    case.assertEqual(
        reference.render_metrics(), (PAGES / 'metrics.md').read_text()
    )


def test_all_writes_in_the_libraries_fit_the_catalogue(case):
    """A wrong field would raise in the middle of handling a failure.

    An operator would see a second, meaningless error in place of the first.
    Such paths run seldom, so the sources are checked instead.
    """
    writes = _list_writes()
    case.assertTrue(writes)
    for place, name, given in writes:
        with case.subTest(place):
            event = getattr(events, name)
            case.assertEqual(set(event.fields), given)


load_tests = fixtures.adapt(__name__)
