"""The registry of checks that look at well-typed settings.

A check is a function that gives findings. It is registered with a rule for
the folder or for the process settings; ``run_checks`` runs them all and
finds the place of each finding in the files.
"""

import enum
import typing

from vanillayoke.settings import decoding
from vanillayoke.settings import faults
from vanillayoke.settings import sources


class Scope(enum.Enum):
    """Which settings a check looks at.

    ``VALUES`` checks look at one value of the folder at a time, ``FOLDER``
    ones across entries, so that they need all files.
    """

    VALUES = 'values'
    FOLDER = 'folder'
    PROCESS = 'process'


class Finding(typing.NamedTuple):
    """What a check found wrong at a path."""

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
    """Return the rules of all faults that settings files can have."""
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
    """Return where a path's value stands.

    For a map it is the place of its key, for an absent value that of the
    nearest map or list around it.
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
