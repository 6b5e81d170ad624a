"""The registry of checks on well-typed settings.

A check is a function that yields findings. It is registered with a scope and
a rule; ``run_checks`` runs all checks of a scope and locates each finding in
the files.
"""

import enum
import typing

from vanillayoke.settings import decoding
from vanillayoke.settings import faults
from vanillayoke.settings import sources


class Scope(enum.Enum):
    """The settings that a check covers.

    ``VALUES`` checks look at single values of the folder, ``FOLDER`` checks
    compare entries and need all files, and ``PROCESS`` checks cover a process
    settings file.
    """

    VALUES = 'values'
    FOLDER = 'folder'
    PROCESS = 'process'


class Finding(typing.NamedTuple):
    """A problem that a check found at a path."""

    path: faults.Path
    text: str


CheckFunction = typing.Callable[[decoding.Values], typing.Iterable[Finding]]


class Check(typing.NamedTuple):
    """A registered check."""

    scope: Scope
    rule: faults.Rule
    function: CheckFunction


_CHECKS: dict[str, Check] = {}


def add_check(
    scope: Scope,
    number: str,
    summary: str,
    hint: str,
    function: CheckFunction,
) -> None:
    """Register a check; ``number``, such as ``E101``, must be new."""
    rule = faults.Rule(f'settings.{number}', summary, hint)
    if rule.id in _CHECKS or rule.id in faults.FILE_RULES:
        raise ValueError(f'{rule.id} is registered twice')
    _CHECKS[rule.id] = Check(scope, rule, function)


def register(
    scope: Scope, number: str, summary: str, hint: str
) -> typing.Callable[[CheckFunction], CheckFunction]:
    """Return a decorator that registers a check function."""

    def decorate(function: CheckFunction) -> CheckFunction:
        add_check(scope, number, summary, hint, function)
        return function

    return decorate


def list_rules() -> list[faults.Rule]:
    """Return all rules, sorted by id."""
    rules = [*faults.FILE_RULES.values()]
    rules += [check.rule for check in _CHECKS.values()]
    return sorted(rules)


def run_checks(
    scope: Scope, values: decoding.Values, tree: sources.MapNode
) -> list[faults.Fault]:
    """Run all checks of a scope."""
    found = []
    for check in _CHECKS.values():
        if check.scope is not scope:
            continue
        for finding in check.function(values):
            place = find_place(tree, finding.path)
            found.append(
                faults.Fault(check.rule, place, finding.path, finding.text)
            )
    return found


def find_place(tree: sources.MapNode, path: faults.Path) -> faults.Place:
    """Return the place of a path's value.

    For a map this is the place of its key; for an absent value, the place of
    the innermost existing map or list on its path.
    """
    node: sources.Node = tree
    place = tree.place
    for part in path:
        match node, part:
            case sources.MapNode(entries=entries), str() if part in entries:
                place, node = entries[part]
                if not isinstance(node, sources.MapNode):
                    place = node.place
            case sources.ListNode(items=items), int() if part < len(items):
                node = items[part]
                place = node.place
            case _:
                break
    return place
