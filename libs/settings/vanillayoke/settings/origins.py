"""List the file and line that each merged value came from."""

import typing

from vanillayoke.settings import faults
from vanillayoke.settings import sources


class Origin(typing.NamedTuple):
    """A value of the merged settings; lists and empty maps count as one."""

    path: faults.Path
    value: typing.Any
    place: faults.Place


def list_origins(tree: sources.MapNode) -> list[Origin]:
    """Return all values in the order of their paths."""
    return list(_walk(tree, ()))


def _walk(tree: sources.MapNode, path: faults.Path) -> typing.Iterator[Origin]:
    for key in sorted(tree.entries):
        place, node = tree.entries[key]
        if isinstance(node, sources.MapNode) and node.entries:
            yield from _walk(node, (*path, key))
        else:
            yield Origin((*path, key), sources.to_builtins(node), place)
