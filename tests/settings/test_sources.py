"""Tests of parsing JSON with comments and of the places of values."""

import hypothesis
from hypothesis import strategies
import msgspec

from vanillayoke.settings import sources
from vanillayoke.testing import fixtures

_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63) + 1, 2**63 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(strategies.characters(exclude_categories=['Cs'])),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text('ab"\\ é', max_size=3), inner
        )
    ),
    max_leaves=12,
)


def _parse(text):
    return sources.parse_source('f.json', text)


def _find_fault(text):
    (fault,) = _parse(text).faults
    return fault.rule.id, fault.place.line, fault.place.column


def test_comments_and_trailing_commas_are_read(case):
    source = _parse('/* a */ { // b\r\n "k": [1, 2,], /* c */ "x": {}, }\n')
    case.assertEqual((), source.faults)
    plain = sources.to_builtins(source.tree)
    case.assertEqual({'k': [1, 2], 'x': {}}, plain)


def test_places_count_lines_and_columns_from_1(case):
    for end in ('\n', '\r\n', '\r'):
        tree = _parse(f'{{{end}  "é": "x",{end}"k": [{end} 7]}}').tree
        case.assertEqual('f.json:2:3', str(tree.entries['é'].place))
        case.assertEqual('f.json:2:8', str(tree.entries['é'].node.place))
        case.assertEqual(
            'f.json:4:2', str(tree.entries['k'].node.items[0].place)
        )


def test_comment_marks_inside_strings_are_kept(case):
    text = '{"a//b": "/* \\" // */", "c": "}"}'
    plain = sources.to_builtins(_parse(text).tree)
    case.assertEqual({'a//b': '/* " // */', 'c': '}'}, plain)


def test_faults_are_reported_at_their_place(case):
    for text, found in (
        ('', ('settings.E003', 1, 1)),
        ('{"a": 1\n "b": 2}', ('settings.E003', 2, 2)),
        ('{"a": 1,,}', ('settings.E003', 1, 9)),
        ('{\n"a": "x', ('settings.E003', 2, 6)),
        ('{} // c\n 1', ('settings.E003', 2, 2)),
        ('[' * 99, ('settings.E003', 1, 33)),
        ('{a: 1}', ('settings.E004', 1, 2)),
        ("{'a': 1}", ('settings.E004', 1, 2)),
        ("{\"a\": 'x'}", ('settings.E004', 1, 7)),
        ('{"a": +1}', ('settings.E004', 1, 7)),
        ('{"a": 0x1F}', ('settings.E004', 1, 7)),
        ('{"a": .5}', ('settings.E004', 1, 7)),
        ('{"a": Infinity}', ('settings.E004', 1, 7)),
        ('{"a": "\t"}', ('settings.E004', 1, 7)),
        ('{"a": "\\q"}', ('settings.E004', 1, 7)),
        ('{"a": 1,\n "a": 2}', ('settings.E005', 2, 2)),
        ('// only\n[1]', ('settings.E006', 2, 1)),
        ('{"a": 9223372036854775808}', ('settings.E013', 1, 7)),
    ):
        case.assertEqual(found, _find_fault(text), text)


@hypothesis.settings(derandomize=True, max_examples=100, database=None)
@hypothesis.given(strategies.dictionaries(strategies.text('kK'), _JSON))
def _check_round_trip(value):
    blob = msgspec.json.format(msgspec.json.encode(value), indent=2)
    source = _parse(blob.decode())
    assert source.faults == ()
    assert sources.to_builtins(source.tree) == value


def test_any_json_is_read_unchanged(case):
    _check_round_trip()


@hypothesis.settings(derandomize=True, max_examples=200, database=None)
@hypothesis.given(
    strategies.text('{}[]":,/*\\\n 1etrufalsn\'+.x', max_size=30)
)
def _check_never_raises(text):
    source = _parse(text)
    assert (source.tree is None) <= bool(source.faults)


def test_no_text_raises(case):
    _check_never_raises()


load_tests = fixtures.adapt(__name__)
