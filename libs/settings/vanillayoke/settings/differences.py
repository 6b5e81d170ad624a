"""Differences between two configurations, formatted for operators."""

import json
import typing

import msgspec

from vanillayoke.settings import configuration
from vanillayoke.settings import faults

MAX_VALUE_LENGTH = 72


class Difference(typing.NamedTuple):
    """One value that differs; ``UNSET`` if absent on that side."""

    path: faults.Path
    old: typing.Any
    new: typing.Any


def compare(
    old: configuration.Configuration, new: configuration.Configuration
) -> list[Difference]:
    """Return the differences in the order of their paths.

    An entry that only one side has counts as one difference; entries on both
    sides are compared field by field.
    """
    found: list[Difference] = []
    _compare(msgspec.to_builtins(old), msgspec.to_builtins(new), (), found)
    return found


def _compare(
    old: typing.Any,
    new: typing.Any,
    path: faults.Path,
    found: list[Difference],
) -> None:
    if not isinstance(old, dict) or not isinstance(new, dict):
        if old != new:
            found.append(Difference(path, old, new))
        return
    for key in sorted(old.keys() | new.keys()):
        _compare(
            old.get(key, msgspec.UNSET),
            new.get(key, msgspec.UNSET),
            (*path, key),
            found,
        )


def format_difference(difference: Difference) -> str:
    """Return a difference as one line that begins with +, - or ~."""
    path = faults.format_path(difference.path)
    if difference.old is msgspec.UNSET:
        return f'+ {path}: {format_value(difference.new)}'
    if difference.new is msgspec.UNSET:
        return f'- {path}: {format_value(difference.old)}'
    old = format_value(difference.old)
    return f'~ {path}: {old} -> {format_value(difference.new)}'


def format_value(value: typing.Any) -> str:
    """Return a value as JSON text, truncated if it is long."""
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= MAX_VALUE_LENGTH:
        return text
    return f'{text[:MAX_VALUE_LENGTH]}... ({len(text)} characters)'


def dump_differences(
    found: typing.Iterable[Difference],
) -> list[dict[str, typing.Any]]:
    """Return differences as JSON objects; absent sides are omitted."""
    return [
        {
            name: value
            for name, value in (
                ('path', faults.format_path(difference.path)),
                ('old', difference.old),
                ('new', difference.new),
            )
            if value is not msgspec.UNSET
        }
        for difference in found
    ]
