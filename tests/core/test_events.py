"""Tests of the event catalogue, its page and its use in all libraries."""

import ast
import pathlib

from vanillayoke.core import events
from vanillayoke.core import reference
from vanillayoke.testing import fixtures

ROOT = pathlib.Path(__file__).resolve().parents[2]
PAGES = ROOT / 'docs' / 'reference'
CLIENT_TEXT_FIELDS = {
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
COMMON_FIELDS = {
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
    """Return location, event name and fields of all writes in libraries."""
    writes = []
    for path in sorted((ROOT / 'libs').rglob('*.py')):
        tree = ast.parse(path.read_text())
        for scope in ast.walk(tree):
            if isinstance(scope, ast.FunctionDef | ast.AsyncFunctionDef):
                writes += _list_writes_in(scope, path.name)
    return writes


def _list_writes_in(scope: ast.AST, file: str) -> list:
    literals = _find_dictionaries(scope)
    return [
        (f'{file}:{node.lineno}', name, _list_fields(node, literals))
        for node in ast.walk(scope)
        if (name := _find_event_name(node)) is not None
    ]


def _find_dictionaries(scope: ast.AST) -> dict[str, set[str]]:
    """Return the keys of dictionary literals that are assigned to names."""
    return {
        target.id: {ast.literal_eval(key) for key in node.value.keys}
        for node in ast.walk(scope)
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Dict)
        for target in node.targets
        if isinstance(target, ast.Name)
        and all(isinstance(key, ast.Constant) for key in node.value.keys)
    }


def _list_fields(call: ast.Call, literals: dict[str, set[str]]) -> set[str]:
    """Return the fields of a call; ``**name`` stands for a literal's keys.

    An unresolved argument is included in the result and so fails the check.
    """
    fields: set[str] = set()
    for keyword in call.keywords:
        if keyword.arg is not None:
            fields.add(keyword.arg)
        elif isinstance(keyword.value, ast.Name):
            fields |= literals.get(keyword.value.id, {f'**{keyword.value.id}'})
        else:
            fields.add('**')
    return fields


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
        fields = dict.fromkeys(event.fields, 'x')
        with case.subTest(event.name):
            event.text.format_map(fields)


def test_no_event_has_a_field_for_client_text(case):
    for event in events.list_events():
        with case.subTest(event.name):
            case.assertFalse(CLIENT_TEXT_FIELDS & set(event.fields))


def test_no_field_collides_with_the_common_fields(case):
    for event in events.list_events():
        with case.subTest(event.name):
            case.assertFalse(COMMON_FIELDS & set(event.fields))


def test_every_event_belongs_to_a_group(case):
    page = reference.render_events()
    for event in events.list_events():
        case.assertIn(f'| {event.number} | `{event.name}` |', page)


def test_names_are_unique(case):
    names = [event.name for event in events.list_events()]
    case.assertEqual(len(set(names)), len(names))


def test_events_are_found_by_number(case):
    case.assertIs(events.FENCED, events.find_event(203))
    case.assertIsNone(events.find_event(99999))


def test_generated_pages_are_up_to_date(case):
    case.assertEqual(
        reference.render_events(), (PAGES / 'events.md').read_text()
    )
    case.assertEqual(
        reference.render_metrics(), (PAGES / 'metrics.md').read_text()
    )


def test_all_writes_in_the_libraries_match_the_catalogue(case):
    """A wrong field would raise while a failure is handled and hide it.

    Tests rarely execute such code, so the sources are checked.
    """
    writes = _list_writes()
    case.assertTrue(writes)
    for location, name, fields in writes:
        with case.subTest(location):
            event = getattr(events, name)
            case.assertEqual(set(event.fields), fields)


load_tests = fixtures.adapt(__name__)
