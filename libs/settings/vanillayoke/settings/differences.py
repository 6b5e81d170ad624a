"""Differences between two configurations, readable for operators."""

import json
import typing

import msgspec

from vanillayoke.settings import configuration
from vanillayoke.settings import faults

LONGEST_VALUE = 72


class Difference(typing.NamedTuple):
    """One value that differs; ``UNSET`` stands for absent."""

    path: faults.Path
    old: typing.Any
    new: typing.Any


def compare(
    old: configuration.Configuration, new: configuration.Configuration
) -> list[Difference]:
    """Return what differs, in the order of the paths.

    An entry that only one side has is one difference; of entries on both
    sides each field is one.
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
    """Return a value as JSON text, shortened where it is long."""
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= LONGEST_VALUE:
        return text
    return f'{text[:LONGEST_VALUE]}... ({len(text)} characters)'


def dump_differences(
    found: typing.Iterable[Difference],
) -> list[dict[str, typing.Any]]:
    """Return differences ready for JSON; an absent side is left out."""
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
