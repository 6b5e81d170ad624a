"""Parse settings files into trees that record the place of each value.

pyjson5 checks that a text is well formed. A scan of the accepted text then
finds the place of each value and rejects JSON5 syntax other than comments and
trailing commas; msgspec decodes each key, string and number.
"""

import bisect
import re
import typing

import msgspec
import pyjson5

from vanillayoke.settings import faults

MAX_DEPTH = 32
_INTEGER_LIMIT = 2**63

_BLANKS = re.compile(
    r'(?:[\s\ufeff]+|//[^\n\r\u2028\u2029]*|/\*.*?\*/)*', re.DOTALL
)
_STRING = re.compile(r'"(?:[^"\\]|\\.)*"', re.DOTALL)
_TOKEN = re.compile(r'''(?:"(?:[^"\\]|\\.)*"|[^\s,:\]}"/]+)''', re.DOTALL)
_LINE_END = re.compile(r'\r\n|\n|\r')
_POSITION = re.compile(r' near (\d+)')


class ScalarNode(typing.NamedTuple):
    """A string, number, boolean or null."""

    place: faults.Place
    value: str | int | float | bool | None


class ListNode(typing.NamedTuple):
    """A list."""

    place: faults.Place
    items: tuple['Node', ...]


class Entry(typing.NamedTuple):
    """The place of a key, and its value."""

    place: faults.Place
    node: 'Node'


class MapNode(typing.NamedTuple):
    """A map; ``removed`` holds the places where keys were removed."""

    place: faults.Place
    entries: dict[str, Entry]
    removed: dict[str, faults.Place] = {}


Node = ScalarNode | ListNode | MapNode


class Source(typing.NamedTuple):
    """The tree of a file, ``None`` if it is unusable, and its faults."""

    tree: MapNode | None
    faults: tuple[faults.Fault, ...]


def parse_source(file: str, text: str) -> Source:
    """Parse the text of one settings file."""
    scanner = _Scanner(file, text)
    try:
        pyjson5.decode(text, maxdepth=MAX_DEPTH)
    except pyjson5.Json5DecoderException as error:
        return Source(None, (_describe_syntax(scanner, error),))
    try:
        tree = scanner.scan_document()
    except _ScanError as error:
        return Source(None, (error.fault,))
    if not isinstance(tree, MapNode):
        fault = _make_fault('E006', tree.place, (), 'Expected a map here.')
        return Source(None, (fault,))
    return Source(tree, tuple(scanner.faults))


def to_builtins(node: Node) -> typing.Any:
    """Return a tree as plain dicts, lists and scalars."""
    match node:
        case ScalarNode(value=value):
            return value
        case ListNode(items=items):
            return [to_builtins(item) for item in items]
        case MapNode(entries=entries):
            return {
                key: to_builtins(entry.node) for key, entry in entries.items()
            }


def find_end(file: str, text: str) -> faults.Place:
    """Return the place just after the end of a text."""
    lines = _LINE_END.split(text)
    return faults.Place(file, len(lines), len(lines[-1]) + 1)


class _ScanError(Exception):
    """Scanning cannot continue; ``parse_source`` returns the fault."""

    def __init__(self, fault: faults.Fault) -> None:
        super().__init__(fault.text)
        self.fault = fault


class _Scanner:
    """Scans a text that pyjson5 has accepted."""

    def __init__(self, file: str, text: str) -> None:
        self.faults: list[faults.Fault] = []
        self._file = file
        self._text = text
        self._offset = 0
        ends = (match.end() for match in _LINE_END.finditer(text))
        self._line_starts = [0, *ends]

    def find_place(self, offset: int) -> faults.Place:
        """Return the place of a character offset."""
        line = bisect.bisect_right(self._line_starts, offset)
        column = offset - self._line_starts[line - 1] + 1
        return faults.Place(self._file, line, column)

    def find_token(self, offset: int) -> int:
        """Return the offset of the next token after blanks and comments."""
        return _BLANKS.match(self._text, offset).end()

    def scan_document(self) -> Node:
        """Return the tree of the whole text."""
        self._skip_blanks()
        return self._scan_value(())

    def _skip_blanks(self) -> None:
        self._offset = self.find_token(self._offset)

    def _consume(self, character: str) -> bool:
        self._skip_blanks()
        if not self._text.startswith(character, self._offset):
            return False
        self._offset += 1
        return True

    def _scan_value(self, path: faults.Path) -> Node:
        place = self.find_place(self._offset)
        if self._consume('{'):
            return self._scan_map(place, path)
        if self._consume('['):
            return self._scan_list(place, path)
        return ScalarNode(place, self._scan_scalar(place, path))

    def _scan_map(self, place: faults.Place, path: faults.Path) -> MapNode:
        entries: dict[str, Entry] = {}
        while not self._consume('}'):
            key_place = self.find_place(self._offset)
            key = self._scan_key(key_place, path)
            self._consume(':')
            self._skip_blanks()
            node = self._scan_value((*path, key))
            self._report_duplicate(entries, key, key_place, path)
            entries[key] = Entry(key_place, node)
            self._consume(',')
        return MapNode(place, entries)

    def _report_duplicate(
        self,
        entries: dict[str, Entry],
        key: str,
        place: faults.Place,
        path: faults.Path,
    ) -> None:
        if key not in entries:
            return
        text = f'The key is already on line {entries[key].place.line}.'
        self.faults.append(_make_fault('E005', place, (*path, key), text))

    def _scan_list(self, place: faults.Place, path: faults.Path) -> ListNode:
        items: list[Node] = []
        while not self._consume(']'):
            items.append(self._scan_value((*path, len(items))))
            self._consume(',')
        return ListNode(place, tuple(items))

    def _scan_key(self, place: faults.Place, path: faults.Path) -> str:
        match = _STRING.match(self._text, self._offset)
        if match is None:
            self._fail(place, path, 'This key is not in double quotes.')
        self._offset = match.end()
        return self._decode(match.group(), place, path)

    def _scan_scalar(
        self, place: faults.Place, path: faults.Path
    ) -> str | int | float | bool | None:
        match = _TOKEN.match(self._text, self._offset)
        if match is None:
            self._fail(place, path, 'This value is not written as in JSON.')
        self._offset = match.end()
        value = self._decode(match.group(), place, path)
        if isinstance(value, int) and abs(value) >= _INTEGER_LIMIT:
            text = 'The number is too large.'
            self.faults.append(_make_fault('E013', place, path, text))
            return _INTEGER_LIMIT - 1
        return value

    def _decode(
        self, token: str, place: faults.Place, path: faults.Path
    ) -> typing.Any:
        try:
            return msgspec.json.decode(token)
        except msgspec.DecodeError:
            self._fail(place, path, 'This is not written as in JSON.')

    def _fail(
        self, place: faults.Place, path: faults.Path, text: str
    ) -> typing.NoReturn:
        raise _ScanError(_make_fault('E004', place, path, text))


def _describe_syntax(
    scanner: _Scanner, error: pyjson5.Json5DecoderException
) -> faults.Fault:
    message = str(error.args[0])
    position = _POSITION.search(message)
    # pyjson5 counts characters from 1, but from 0 in an empty text.
    offset = max(int(position.group(1)) - 1, 0) if position else 0
    if isinstance(error, pyjson5.Json5ExtraData):
        # The error gives the end of the document, not the extra data.
        offset = scanner.find_token(offset + 1)
    reason = _POSITION.sub('', message).replace("b'", "'")
    place = scanner.find_place(offset)
    return _make_fault('E003', place, (), f'{reason.rstrip(".")}.')


def _make_fault(
    number: str, place: faults.Place, path: faults.Path, text: str
) -> faults.Fault:
    rule = faults.FILE_RULES[f'settings.{number}']
    return faults.Fault(rule, place, path, text)
