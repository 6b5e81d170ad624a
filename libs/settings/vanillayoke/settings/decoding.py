"""Decode a tree into typed settings and report all type faults at once.

Each value is converted by a separate msgspec call, so that an invalid value
does not hide faults in others. Valid values are also collected by pattern, so
that checks can run on them even if other values of the same entry are
invalid.
"""

import difflib
import typing

import msgspec

from vanillayoke.settings import faults
from vanillayoke.settings import sources

ANY_KEY = '*'
ANY_INDEX = '#'


class Values:
    """The well-typed values of a tree and the names of its map keys.

    A pattern is a path in which ``*`` stands for any key and ``#`` for any
    list index, such as ``agents.*.tools.#``.
    """

    def __init__(self) -> None:
        self._values: dict[str, dict[faults.Path, typing.Any]] = {}
        self._names: dict[str, list[str]] = {}

    def add_value(
        self, pattern: str, path: faults.Path, value: typing.Any
    ) -> None:
        """Add a valid value, given or default."""
        self._values.setdefault(pattern, {})[path] = value

    def add_name(self, section: str, name: str) -> None:
        """Add a key of a section, whether or not its value is valid."""
        self._names.setdefault(section, []).append(name)

    def select(
        self, pattern: str
    ) -> typing.Iterable[tuple[faults.Path, typing.Any]]:
        """Return the paths and values added under a pattern."""
        return self._values.get(pattern, {}).items()

    def find(self, pattern: str, path: faults.Path) -> typing.Any:
        """Return one value, or ``None`` if it is absent or invalid."""
        return self._values.get(pattern, {}).get(path)

    def list_names(self, section: str) -> list[str]:
        """Return all keys of a section, including those of invalid values."""
        return self._names.get(section, [])


class Decoded(typing.NamedTuple):
    """Typed settings, ``None`` if any value is invalid or missing."""

    settings: typing.Any
    faults: tuple[faults.Fault, ...]
    values: Values


def decode_tree(
    tree: sources.MapNode, kind: type[msgspec.Struct], complete: bool = True
) -> Decoded:
    """Decode a tree as a struct.

    If ``complete`` is false, missing fields are not reported, because they
    may be in a file that could not be read.
    """
    decoder = _Decoder(complete)
    settings = decoder.decode_struct(tree, kind, (), '')
    is_invalid = settings is _INVALID
    return Decoded(
        None if is_invalid else settings, tuple(decoder.faults), decoder.values
    )


class _Invalid:
    """The type of the marker for values that could not be decoded."""


_INVALID = _Invalid()


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
        self._report_unknown(node, list(fields), path)
        decoded_fields = {
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
        self._report_missing(node, missing, path)
        unknown = node.entries.keys() - fields.keys()
        if missing or unknown or _INVALID in decoded_fields.values():
            return _INVALID
        decoded = kind(**decoded_fields)
        self._add_defaults(decoded, decoded_fields, path, pattern)
        self.values.add_value(pattern, path, decoded)
        return decoded

    def _add_defaults(
        self,
        decoded: msgspec.Struct,
        decoded_fields: dict[str, typing.Any],
        path: faults.Path,
        pattern: str,
    ) -> None:
        """Add the defaults of absent structs, so that checks cover them."""
        for name in decoded.__struct_fields__:
            value = getattr(decoded, name)
            if name not in decoded_fields and isinstance(
                value, msgspec.Struct
            ):
                default_pattern = _extend(pattern, name)
                self.values.add_value(default_pattern, (*path, name), value)

    def _decode(
        self,
        node: sources.Node,
        kind: typing.Any,
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        if _is_struct(kind):
            if not isinstance(node, sources.MapNode):
                return self._reject(node, path, 'Expected a map.')
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
            return self._reject(node, path, 'Expected a map.')
        decoded = {}
        for key, entry in node.entries.items():
            self.values.add_name(pattern, key)
            decoded[key] = self._decode(
                entry.node, kind, (*path, key), _extend(pattern, ANY_KEY)
            )
        return _INVALID if _INVALID in decoded.values() else decoded

    def _decode_list(
        self,
        node: sources.Node,
        kind: typing.Any,
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        if not isinstance(node, sources.ListNode):
            return self._reject(node, path, 'Expected a list.')
        decoded = tuple(
            self._decode(item, kind, (*path, i), _extend(pattern, ANY_INDEX))
            for i, item in enumerate(node.items)
        )
        if _INVALID in decoded:
            return _INVALID
        self.values.add_value(pattern, path, decoded)
        return decoded

    def _decode_leaf(
        self,
        node: sources.Node,
        kind: typing.Any,
        path: faults.Path,
        pattern: str,
    ) -> typing.Any:
        try:
            value = msgspec.convert(sources.to_builtins(node), kind)
        except msgspec.ValidationError as error:
            return self._reject(node, path, f'{error}.')
        self.values.add_value(pattern, path, value)
        return value

    def _reject(
        self, node: sources.Node, path: faults.Path, text: str
    ) -> _Invalid:
        self._add_fault('E010', node.place, path, text)
        return _INVALID

    def _report_unknown(
        self, node: sources.MapNode, known_fields: list[str], path: faults.Path
    ) -> None:
        for key, entry in node.entries.items():
            if key in known_fields:
                continue
            matches = difflib.get_close_matches(key, known_fields, n=1)
            text = 'Unknown field.'
            if matches:
                text += f' Did you mean {matches[0]}?'
            self._add_fault('E011', entry.place, (*path, key), text)

    def _report_missing(
        self, node: sources.MapNode, missing: list[str], path: faults.Path
    ) -> None:
        if not self._complete:
            return
        for name in missing:
            removal = node.removed.get(name)
            text = 'The field is required.'
            if removal is not None:
                text = 'The field is required but is removed here.'
            place = removal or node.place
            self._add_fault('E012', place, (*path, name), text)

    def _add_fault(
        self, number: str, place: faults.Place, path: faults.Path, text: str
    ) -> None:
        rule = faults.FILE_RULES[f'settings.{number}']
        self.faults.append(faults.Fault(rule, place, path, text))


def _is_struct(kind: typing.Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _extend(pattern: str, part: str) -> str:
    return f'{pattern}.{part}' if pattern else part
