"""Turn a tree into typed settings and find every type fault at once.

msgspec converts each value by itself, so one wrong value hides no other.
Values that are right are also gathered by pattern, so that checks can look
at them although an entry is broken elsewhere.
"""

import difflib
import typing

import msgspec

from vanillayoke.settings import faults
from vanillayoke.settings import sources

EACH_KEY = '*'
EACH_ITEM = '#'


class Values:
    """The well-typed values of a tree and the names of its map keys.

    A pattern is a path in which ``*`` stands for any key and ``#`` for any
    list index, such as ``agents.*.tools.#``.
    """

    def __init__(self) -> None:
        self._values: dict[str, dict[faults.Path, typing.Any]] = {}
        self._names: dict[str, list[str]] = {}

    def note_value(
        self, pattern: str, path: faults.Path, value: typing.Any
    ) -> None:
        """Add a value that is in force."""
        self._values.setdefault(pattern, {})[path] = value

    def note_name(self, section: str, name: str) -> None:
        """Add a key of a section, whether or not its value is right."""
        self._names.setdefault(section, []).append(name)

    def select(
        self, pattern: str
    ) -> typing.Iterable[tuple[faults.Path, typing.Any]]:
        """Return paths and values that fit a pattern."""
        return self._values.get(pattern, {}).items()

    def find(self, pattern: str, path: faults.Path) -> typing.Any:
        """Return one value, ``None`` where it is absent or not right."""
        return self._values.get(pattern, {}).get(path)

    def list_names(self, section: str) -> list[str]:
        """Return all keys of a section, right or not."""
        return self._names.get(section, [])


class Decoded(typing.NamedTuple):
    """Typed settings, ``None`` where any value is wrong or missing."""

    settings: typing.Any
    faults: tuple[faults.Fault, ...]
    values: Values


def decode_tree(
    tree: sources.MapNode, kind: type[msgspec.Struct], complete: bool = True
) -> Decoded:
    """Decode a tree as a struct.

    With ``complete`` false nothing is said of missing fields, because they
    may stand in a file that could not be read.
    """
    decoder = _Decoder(complete)
    settings = decoder.decode_struct(tree, kind, (), '')
    broken = settings is _WRONG
    return Decoded(
        None if broken else settings, tuple(decoder.faults), decoder.values
    )


class _Wrong:
    """The value of whatever could not be decoded."""


_WRONG = _Wrong()


class _Decoder:
    def __init__(self, complete: bool) -> None:
        self.faults: list[faults.Fault] = []
        self.values = Values()
        self._complete = complete

    def decode_struct(
        self,
        node: sources.MapNode,
        kind: type[msgspec.Struct],
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        fields = {field.name: field for field in msgspec.structs.fields(kind)}
        self._note_unknown(node, list(fields), path)
        given = {
            name: self._decode(
                node.entries[name].node,
                field.type,
                (*path, name),
                _extend(pattern, name),
            )
            for name, field in fields.items()
            if name in node.entries
        }
        missing = [
            name
            for name, field in fields.items()
            if field.required and name not in node.entries
        ]
        self._note_missing(node, missing, path)
        unknown = node.entries.keys() - fields.keys()
        if missing or unknown or _WRONG in given.values():
            return _WRONG
        decoded = kind(**given)
        self._note_defaults(decoded, given, path, pattern)
        self.values.note_value(pattern, path, decoded)
        return decoded

    def _note_defaults(
        self,
        decoded: msgspec.Struct,
        given: dict[str, typing.Any],
        path: faults.Path,
        pattern: str,
    ) -> None:
        """Note absent structs, so that checks see the numbers in force."""
        for name in decoded.__struct_fields__:
            value = getattr(decoded, name)
            if name not in given and isinstance(value, msgspec.Struct):
                where = _extend(pattern, name)
                self.values.note_value(where, (*path, name), value)

    def _decode(
        self,
        node: sources.Node,
        kind: typing.Any,
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        if _is_struct(kind):
            if not isinstance(node, sources.MapNode):
                return self._refuse(node, path, 'Expected a map.')
            return self.decode_struct(node, kind, path, pattern)
        match typing.get_origin(kind), typing.get_args(kind):
            case origin, (_, value) if origin is dict and _is_struct(value):
                return self._decode_section(node, value, path, pattern)
            case origin, (item, _) if origin is tuple:
                return self._decode_list(node, item, path, pattern)
        return self._decode_leaf(node, kind, path, pattern)

    def _decode_section(
        self,
        node: sources.Node,
        kind: type[msgspec.Struct],
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        if not isinstance(node, sources.MapNode):
            return self._refuse(node, path, 'Expected a map.')
        decoded = {}
        for key, entry in node.entries.items():
            self.values.note_name(pattern, key)
            decoded[key] = self._decode(
                entry.node, kind, (*path, key), _extend(pattern, EACH_KEY)
            )
        return _WRONG if _WRONG in decoded.values() else decoded

    def _decode_list(
        self,
        node: sources.Node,
        kind: typing.Any,
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        if not isinstance(node, sources.ListNode):
            return self._refuse(node, path, 'Expected a list.')
        decoded = tuple(
            self._decode(item, kind, (*path, i), _extend(pattern, EACH_ITEM))
            for i, item in enumerate(node.items)
        )
        if _WRONG in decoded:
            return _WRONG
        self.values.note_value(pattern, path, decoded)
        return decoded

    def _decode_leaf(
        self,
        node: sources.Node,
        kind: typing.Any,
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        try:
            value = msgspec.convert(sources.make_plain(node), kind)
        except msgspec.ValidationError as error:
            return self._refuse(node, path, f'{error}.')
        self.values.note_value(pattern, path, value)
        return value

    def _refuse(
        self, node: sources.Node, path: faults.Path, text: str
    ) -> _Wrong:
        self._note('E010', node.place, path, text)
        return _WRONG

    def _note_unknown(
        self, node: sources.MapNode, known: list[str], path: faults.Path
    ) -> None:
        for key, entry in node.entries.items():
            if key in known:
                continue
            close = difflib.get_close_matches(key, known, n=1)
            text = 'This field is not known.'
            if close:
                text += f' Did you mean {close[0]}?'
            self._note('E011', entry.place, (*path, key), text)

    def _note_missing(
        self, node: sources.MapNode, missing: list[str], path: faults.Path
    ) -> None:
        if not self._complete:
            return
        for name in missing:
            removal = node.removed.get(name)
            text = 'The field must be given.'
            if removal is not None:
                text = 'The field must be given, and is removed here.'
            place = removal or node.place
            self._note('E012', place, (*path, name), text)

    def _note(
        self, number: str, place: faults.Place, path: faults.Path, text: str
    ) -> None:
        rule = faults.FILE_RULES[f'settings.{number}']
        self.faults.append(faults.Fault(rule, place, path, text))


def _is_struct(kind: typing.Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _extend(pattern: str, part: str) -> str:
    return f'{pattern}.{part}' if pattern else part
