"""Broken settings folders, each with the one fault that it has.

Every folder is the sound one of ``folders`` with a second file, in which
one thing is wrong. Some are written by hand, some drawn by Hypothesis.
"""

import functools
import json
import typing

import hypothesis
from hypothesis import strategies

from tests.settings import folders

CHANGED = '50-change.json'
GENERATED = 150


class Broken(typing.NamedTuple):
    """The second file, and its fault's id, line and file."""

    text: bytes
    id: str
    line: int
    file: str = CHANGED


class Wrong(typing.NamedTuple):
    """A value that makes a path wrong; ``at`` is where the fault stands."""

    path: tuple[str, ...]
    value: typing.Any
    id: str
    at: tuple[str, ...] = ()


_ENGINE = ('targets', 'engine-1')
_SERVICE = ('targets', 'service-1')
_AGENT = ('agents', 'board')
_TOOL = ('tools', 'stock')
_CLIENT = ('clients', 'shop')
_MODEL = ('models', 'mm')
_BUDGET = (*_AGENT, 'budget')
_TEXTS = (
    (*_AGENT, 'model'),
    (*_AGENT, 'instructions'),
    (*_TOOL, 'service'),
    (*_TOOL, 'path'),
    (*_TOOL, 'description'),
    (*_ENGINE, 'kind'),
    (*_ENGINE, 'address'),
    (*_ENGINE, 'zone'),
    (*_ENGINE, 'region'),
    (*_SERVICE, 'group'),
    (*_SERVICE, 'fencing'),
    (*_MODEL, 'version'),
    ('policy', 'placement'),
    ('policy', 'order'),
)
_NUMBERS = (
    (*_AGENT, 'max_tokens'),
    (*_AGENT, 'call_timeout'),
    (*_AGENT, 'progress_timeout'),
    (*_BUDGET, 'tokens'),
    (*_BUDGET, 'calls'),
    (*_BUDGET, 'seconds'),
    (*_TOOL, 'timeout'),
    (*_ENGINE, 'cache_tokens'),
    (*_SERVICE, 'slots'),
    (*_CLIENT, 'weight'),
    (*_CLIENT, 'calls_per_second'),
    (*_CLIENT, 'running_programs'),
    ('policy', 'repeated_steps'),
)
_TRUTHS = (
    (*_TOOL, 'idempotent'),
    (*_SERVICE, 'query'),
    (*_ENGINE, 'signed_orders'),
)
_LISTS = (
    (*_AGENT, 'tools'),
    (*_AGENT, 'children'),
    (*_CLIENT, 'key_hashes'),
    (*_CLIENT, 'agents'),
    (*_MODEL, 'pinned'),
)
_MAPS = (_ENGINE, _AGENT, _BUDGET, _TOOL, _CLIENT, _MODEL)
_REQUIRED = (
    (*_AGENT, 'model'),
    (*_TOOL, 'service'),
    (*_TOOL, 'path'),
    (*_TOOL, 'idempotent'),
    (*_ENGINE, 'kind'),
    (*_ENGINE, 'address'),
    (*_SERVICE, 'zone'),
    (*_SERVICE, 'region'),
    (*_CLIENT, 'key_hashes'),
)


def _make_wrong(
    paths: typing.Sequence[tuple[str, ...]],
    values: typing.Sequence[typing.Any],
    id: str,
) -> strategies.SearchStrategy[Wrong]:
    return strategies.builds(
        Wrong,
        strategies.sampled_from(paths),
        strategies.sampled_from(values),
        strategies.just(id),
    )


def _name_field(path: tuple[str, ...], name: str) -> Wrong:
    return Wrong((*path, f'{name}_'), 1, 'settings.E011')


def _remove_absent(path: tuple[str, ...], name: str) -> Wrong:
    return Wrong((*path, f'{name}_'), None, 'settings.E009')


_NAMES = strategies.text('abcxyz', min_size=1, max_size=6)
_WRONGS = strategies.one_of(
    _make_wrong(_TEXTS, [1, True, [], {}, 2.5], 'settings.E010'),
    _make_wrong(_NUMBERS, ['1', True, [], {}], 'settings.E010'),
    _make_wrong(_TRUTHS, ['yes', 0, 1, [], {}], 'settings.E010'),
    _make_wrong(_LISTS, ['mm', 3, False, {}], 'settings.E010'),
    _make_wrong(_MAPS, ['mm', 3, False, []], 'settings.E010'),
    _make_wrong(_NUMBERS, [0, -1, -10], 'settings.E101'),
    _make_wrong(_REQUIRED, [None], 'settings.E012'),
    strategies.builds(_name_field, strategies.sampled_from(_MAPS), _NAMES),
    strategies.builds(_remove_absent, strategies.sampled_from(_MAPS), _NAMES),
)


def render(
    path: tuple[str, ...], value: typing.Any, before: int = 0
) -> tuple[str, int]:
    """Return a file that sets one value, and the value's line."""
    lines = ['// A comment, "not": {a value}.'] * before + ['{']
    for name in path[:-1]:
        lines.append(f'{json.dumps(name)}: {{')
    lines.append(f'{json.dumps(path[-1])}: {json.dumps(value)},')
    line = len(lines)
    lines += ['},'] * (len(path) - 1) + ['}']
    return '\n'.join(lines), line


def _break_value(wrong: Wrong, before: int) -> Broken:
    text, line = render(wrong.path, wrong.value, before)
    return Broken(text.encode(), wrong.id, line)


def _break_text(before: int, spoilt: tuple[str, str]) -> Broken:
    text, line = render(('policy', 'urgent_reserve'), 0.5, before)
    lines = text.split('\n')
    replacement, id = spoilt
    lines[line - 1] = replacement
    blob = '\n'.join(lines).encode('latin-1')
    return Broken(blob, id, line)


_SPOILT = (
    ('"urgent_reserve": 0.5 0.6', 'settings.E003'),
    ('"urgent_reserve" 0.5', 'settings.E003'),
    ('"urgent_reserve": ,', 'settings.E003'),
    ('"urgent_reserve": 0.5,,', 'settings.E003'),
    ('"urgent_reserve: 0.5', 'settings.E003'),
    ('urgent_reserve: 0.5', 'settings.E004'),
    ("'urgent_reserve': 0.5", 'settings.E004'),
    ('"urgent_reserve": +0.5', 'settings.E004'),
    ('"urgent_reserve": 0.5, "urgent_reserve": 0.6', 'settings.E005'),
    ('"urgent_reserve": 0.5, // \xe9', 'settings.E002'),
)
_FILES = strategies.one_of(
    strategies.builds(_break_value, _WRONGS, strategies.integers(0, 40)),
    strategies.builds(
        _break_text,
        strategies.integers(0, 40),
        strategies.sampled_from(_SPOILT),
    ),
)


@functools.cache
def generate() -> tuple[Broken, ...]:
    """Return distinct files drawn by Hypothesis, alike in each run."""
    found: dict[Broken, None] = {}

    @hypothesis.settings(
        derandomize=True, max_examples=2 * GENERATED, database=None
    )
    @hypothesis.given(_FILES)
    def gather(broken: Broken) -> None:
        found[broken] = None

    gather()
    return tuple(found)[:GENERATED]


def _target(**fields: typing.Any) -> str:
    whole = {
        'kind': 'engine',
        'address': '127.0.0.1:9009',
        'zone': 'a',
        'region': 'r',
        **fields,
    }
    return f'{{"targets": {{"t":\n {json.dumps(whole)}}}}}'


_BY_HAND: tuple[tuple[str, str, int], ...] = (
    ('', 'E003', 1),
    ('\n// Nothing but a comment.\n', 'E003', 1),
    ('[]', 'E006', 1),
    ('\n\n"text"', 'E006', 3),
    ('{\n', 'E003', 1),
    ('{"a": {\n}', 'E003', 1),
    ('{}\n}', 'E003', 2),
    ('{}\n{}', 'E003', 2),
    ('{"policy":\n undefined}', 'E003', 2),
    ('{"policy":\n NaN}', 'E004', 2),
    ('{"policy": {\n"retry_fraction": -Infinity}}', 'E004', 2),
    ('{"policy": {\n"retry_fraction": 0x1}}', 'E004', 2),
    ('{"policy": {\n"retry_fraction": 5.}}', 'E004', 2),
    ('{"policy": {\n"repeated_steps": 9223372036854775808}}', 'E013', 2),
    ('{"policy": {"order":\n"a\\\nb"}}', 'E004', 2),
    ('{"policy": {"order":\n"\\x41"}}', 'E004', 2),
    ('{"policy": {},\n"policy": {}}', 'E005', 2),
    ('{"agents": {"n": {"model": "mm",\n"model": "mm"}}}', 'E005', 2),
    ('{"agent":\n{}}', 'E011', 1),
    ('{\n"policies": {}}', 'E011', 2),
    ('{\n"nothing": null}', 'E009', 2),
    ('{"agents": {\n"nobody": null}}', 'E009', 2),
    ('{"agents":\n[]}', 'E010', 2),
    ('{"agents": {\n"n": {}}}', 'E012', 2),
    ('{"agents": {\n"n": {"model": "no"}}}', 'E201', 2),
    ('{"agents": {"n": {"model": "mm",\n"tools": ["no"]}}}', 'E202', 2),
    ('{"agents": {"n": {"model": "mm", "tools": [\n1]}}}', 'E010', 2),
    ('{"agents": {"n": {"model": "mm",\n"children": ["no"]}}}', 'E203', 2),
    ('{"agents": {"n": {"model": "mm",\n"children": ["n"]}}}', 'E211', 2),
    (
        '{"agents": {"board": {"children": ["n"]},\n'
        '"n": {"model": "mm", "children": ["board"]}}}',
        'E211',
        2,
    ),
    (
        '{"agents": {"n": {"model": "mm",\n"tools": ["stock", "stock"]}}}',
        'E210',
        2,
    ),
    ('{"agents": {"n": {\n"model": "  "}}}', 'E105', 2),
    ('{"agents": {\n"": {"model": "mm"}}}', 'E107', 2),
    ('{"agents": {\n"a b": {"model": "mm"}}}', 'E107', 2),
    ('{"agents": {\n"ž": {"model": "mm"}}}', 'E107', 2),
    ('{"agents": {"board": {"budget": {\n"money": -1}}}}', 'E102', 2),
    ('{"tools": {"stock": {\n"service": "no"}}}', 'E206', 2),
    ('{"tools": {"stock": {\n"path": "stock"}}}', 'E109', 2),
    ('{"tools": {"stock": {\n"path": "/a b"}}}', 'E109', 2),
    ('{"tools": {"stock": {\n"reserved_money": -1}}}', 'E102', 2),
    ('{"clients": {"n": {"key_hashes": [\n"secret"]}}}', 'E108', 2),
    ('{"clients": {"n": {"key_hashes": [\n"%s"]}}}' % ('AB' * 32), 'E108', 2),
    ('{"clients": {"n": {"key_hashes": [\n"%s"]}}}' % ('ab' * 32), 'E209', 2),
    ('{"clients": {"shop": {\n"agents": ["no"]}}}', 'E204', 2),
    ('{"models": {"mm": {\n"minimum_copies": 2}}}', 'E212', 2),
    ('{"models": {"mm": {\n"minimum_copies": -1}}}', 'E102', 2),
    ('{"models": {"mm": {\n"pinned": ["no"]}}}', 'E205', 2),
    ('{"models": {"mm": {\n"pinned": ["service-1"]}}}', 'E213', 2),
    ('{"policy": {\n"urgent_reserve": 1.5}}', 'E106', 2),
    ('{"policy": {\n"retry_fraction": -0.5}}', 'E106', 2),
    ('{"policy": {\n"admission": "all"}}', 'E103', 2),
    (_target(kind='engin'), 'E103', 2),
    (_target(fencing='check'), 'E103', 2),
    (_target(address='localhost:80'), 'E104', 2),
    (_target(address='127.0.0.1'), 'E104', 2),
    (_target(address='127.0.0.1:0'), 'E104', 2),
    (_target(address='127.0.0.1:65536'), 'E104', 2),
    (_target(address='::1:80'), 'E104', 2),
    (_target(address='http://127.0.0.1:80'), 'E104', 2),
    (_target(address='127.0.0.1:9001'), 'E208', 2),
    (_target(group='supplier'), 'E207', 2),
    (_target(kind='service'), 'E207', 1),
    (_target(zone=''), 'E105', 2),
    (_target(region='other'), 'E215', 2),
)

# The fault of each stands in the sound file, which loses what it needs.
_WANTING: tuple[tuple[str, str, int], ...] = (
    ('{"tools": {\n"stock": null}}', 'E202', 3),
    ('{"models": {\n"mm": null}}', 'E201', 3),
    ('{"targets": {\n"engine-1": null}}', 'E214', 3),
    ('{"targets": {\n"service-1": null}}', 'E206', 6),
)


def list_by_hand() -> list[Broken]:
    """Return the files written by hand."""
    found = [
        Broken(text.encode(), f'settings.{id}', line)
        for text, id, line in _BY_HAND
    ]
    found += [
        Broken(text.encode(), f'settings.{id}', line, folders.BASE)
        for text, id, line in _WANTING
    ]
    return found
