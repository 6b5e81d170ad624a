"""Checks across entries: references by name, and conflicts."""

import functools
import typing

from vanillayoke.settings import checks
from vanillayoke.settings import configuration
from vanillayoke.settings import decoding
from vanillayoke.settings import faults

_FOLDER = checks.Scope.FOLDER


def check_reference(
    pattern: str, section: str, values: decoding.Values
) -> typing.Iterator[checks.Finding]:
    """Find values that do not name an entry of a section."""
    known = frozenset(values.list_names(section))
    for path, name in values.select(pattern):
        if name.strip() and name not in known:
            text = f'{section} has no "{name}".'
            yield checks.Finding(path, text)


def _add_reference(
    number: str, pattern: str, section: str, summary: str
) -> None:
    hint = f'Add it to {section}, or correct the name.'
    function = functools.partial(check_reference, pattern, section)
    checks.add_check(_FOLDER, number, summary, hint, function)


_add_reference(
    'E201', 'agents.*.model', 'models', 'An agent names an unknown model.'
)
_add_reference(
    'E202', 'agents.*.tools.#', 'tools', 'An agent names an unknown tool.'
)
_add_reference(
    'E203',
    'agents.*.children.#',
    'agents',
    'An agent names an unknown sub-agent.',
)
_add_reference(
    'E204', 'clients.*.agents.#', 'agents', 'A client names an unknown agent.'
)
_add_reference(
    'E205', 'models.*.pinned.#', 'targets', 'A model names an unknown target.'
)


def _list_targets(values: decoding.Values, kind: str) -> list[str]:
    return [
        path[1]
        for path, value in values.select('targets.*.kind')
        if value == kind
    ]


def _are_all_kinds_valid(values: decoding.Values) -> bool:
    # An invalid kind is reported by its own check; checks that count targets
    # would only report consequences of it.
    valid_kinds = [kind for _, kind in values.select('targets.*.kind')]
    return len(valid_kinds) == len(values.list_names('targets')) and all(
        kind in configuration.TARGET_KINDS for kind in valid_kinds
    )


def _list_groups(values: decoding.Values) -> frozenset[str]:
    return frozenset(
        values.find('targets.*.group', ('targets', name, 'group')) or ''
        for name in _list_targets(values, 'service')
    )


@checks.register(
    _FOLDER,
    'E206',
    'A tool names a service group that no target is in.',
    'Add a target of kind service with this group, or correct the name.',
)
def check_services(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find tools whose service group has no target."""
    if not _are_all_kinds_valid(values):
        return
    groups = _list_groups(values)
    for path, group in values.select('tools.*.service'):
        if group.strip() and group not in groups:
            text = f'No service target is in group "{group}".'
            yield checks.Finding(path, text)


@checks.register(
    _FOLDER,
    'E207',
    'A target lacks what its kind needs, or has what it cannot use.',
    'Give group for a service and leave it out for an engine.',
)
def check_groups(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find services without a group and engines with one."""
    for path, kind in values.select('targets.*.kind'):
        field_path = ('targets', path[1], 'group')
        group = values.find('targets.*.group', field_path)
        if kind == 'service' and not group:
            yield checks.Finding(field_path, 'The service is in no group.')
        if kind == 'engine' and group:
            yield checks.Finding(field_path, 'An engine has no group.')


@checks.register(
    _FOLDER,
    'E208',
    'Two targets have the same address.',
    'Remove one of the two or correct its address.',
)
def check_unique_addresses(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find targets that share an address, so that capacity counts twice."""
    return _find_duplicates(values, 'targets.*.address', 'address')


@checks.register(
    _FOLDER,
    'E209',
    'The same key hash is given twice.',
    'Give each client its own keys, each of them once.',
)
def check_unique_keys(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find key hashes that do not identify one client."""
    return _find_duplicates(values, 'clients.*.key_hashes.#', 'key hash')


def _find_duplicates(
    values: decoding.Values, pattern: str, noun: str
) -> typing.Iterator[checks.Finding]:
    first: dict[str, faults.Path] = {}
    for path, value in values.select(pattern):
        if value in first:
            owner = faults.format_path(first[value])
            text = f'{owner} already has this {noun}.'
            yield checks.Finding(path, text)
        else:
            first[value] = path


@checks.register(
    _FOLDER,
    'E210',
    'A list contains the same name twice.',
    'Keep one of the two.',
)
def check_repeated_items(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find lists that contain a name more than once."""
    for pattern in (
        'agents.*.tools',
        'agents.*.children',
        'clients.*.agents',
        'models.*.pinned',
    ):
        for path, names in values.select(pattern):
            for i, name in enumerate(names):
                if name in names[:i]:
                    text = f'"{name}" is already in the list.'
                    yield checks.Finding((*path, i), text)


@checks.register(
    _FOLDER,
    'E211',
    'Agents are their own sub-agents, directly or through others.',
    'Break the cycle: remove one of its agents from children.',
)
def check_cycles(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find cycles of sub-agents and report each once."""
    children = {
        path[1]: names for path, names in values.select('agents.*.children')
    }
    visited: set[str] = set()
    for name in children:
        yield from _follow_children(children, name, visited)


def _follow_children(
    children: dict[str, tuple[str, ...]], start: str, visited: set[str]
) -> typing.Iterator[checks.Finding]:
    # An explicit stack, because recursion over a long chain of agents would
    # raise a RecursionError.
    ancestors: list[str] = []
    stack: list[tuple[str, int]] = [(start, 0)]
    while stack:
        name, i = stack.pop()
        if i == 0:
            if name in visited:
                continue
            ancestors.append(name)
        names = children.get(name, ())
        if i == len(names):
            visited.add(ancestors.pop())
            continue
        stack.append((name, i + 1))
        if names[i] in ancestors:
            cycle = [*ancestors[ancestors.index(names[i]) :], names[i]]
            path = ('agents', name, 'children', i)
            yield checks.Finding(path, f'{" -> ".join(cycle)}.')
        else:
            stack.append((names[i], 0))


@checks.register(
    _FOLDER,
    'E212',
    'A model asks for more copies than there are engines.',
    'Lower minimum_copies or add engines.',
)
def check_copies(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find models that require more copies than there are engines."""
    if not _are_all_kinds_valid(values):
        return
    engines = len(_list_targets(values, 'engine'))
    for path, copies in values.select('models.*.minimum_copies'):
        if copies > engines:
            text = f'{copies} copies, but {engines} engines.'
            yield checks.Finding(path, text)


@checks.register(
    _FOLDER,
    'E213',
    'A model is pinned to a target that is no engine.',
    'Pin models to targets of kind engine only.',
)
def check_pins(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find models that are pinned to services."""
    services = _list_targets(values, 'service')
    for path, name in values.select('models.*.pinned.#'):
        if name in services:
            yield checks.Finding(path, f'"{name}" is a service.')


@checks.register(
    _FOLDER,
    'E214',
    'There are agents but no engine.',
    'Add a target of kind engine.',
)
def check_engines(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find folders with agents but without an engine to run them."""
    if not _are_all_kinds_valid(values):
        return
    if values.list_names('agents') and not _list_targets(values, 'engine'):
        yield checks.Finding(('agents',), 'No target is of kind engine.')


@checks.register(
    _FOLDER,
    'E215',
    'An availability zone is in two regions.',
    'Correct zone or region; a zone belongs to one region.',
)
def check_regions(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find targets that give different regions for the same zone."""
    first: dict[str, tuple[str, str]] = {}
    for path, zone in values.select('targets.*.zone'):
        field_path = ('targets', path[1], 'region')
        region = values.find('targets.*.region', field_path)
        if region is None:
            continue
        first_region, owner = first.setdefault(zone, (region, path[1]))
        if first_region != region:
            text = f'{owner} has zone {zone} in region {first_region}.'
            yield checks.Finding(field_path, text)


@checks.register(
    _FOLDER,
    'W001',
    'A client has no key.',
    'Add a key hash, or remove the client.',
)
def check_clients_with_keys(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find clients that cannot authenticate."""
    for path, hashes in values.select('clients.*.key_hashes'):
        if not hashes:
            yield checks.Finding(path, 'No key authenticates this client.')


@checks.register(
    _FOLDER,
    'W002',
    'An outcome of a tool that is not idempotent may stay unknown.',
    'Set query on the targets of its group if the service can report the '
    'outcome of a call.',
)
def check_queries(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find non-idempotent tools on targets that cannot report outcomes."""
    groups_without_query = _list_groups_without_query(values)
    for path, idempotent in values.select('tools.*.idempotent'):
        field_path = ('tools', path[1], 'service')
        group = values.find('tools.*.service', field_path)
        if not idempotent and group in groups_without_query:
            text = f'A target of "{group}" cannot report call outcomes.'
            yield checks.Finding(path, text)


def _list_groups_without_query(values: decoding.Values) -> frozenset[str]:
    return frozenset(
        values.find('targets.*.group', ('targets', name, 'group')) or ''
        for name in _list_targets(values, 'service')
        if not values.find('targets.*.query', ('targets', name, 'query'))
    )


@checks.register(
    _FOLDER,
    'W003',
    'All service targets of a group are in one availability zone.',
    'Add a target in another zone: a zone failure stops these tools.',
)
def check_zones(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find groups whose targets, at least two, are all in one zone."""
    zones: dict[str, list[tuple[str, str]]] = {}
    for name in _list_targets(values, 'service'):
        group = values.find('targets.*.group', ('targets', name, 'group'))
        zone = values.find('targets.*.zone', ('targets', name, 'zone'))
        if group and zone:
            zones.setdefault(group, []).append((zone, name))
    for group, found in zones.items():
        if len(found) > 1 and len({zone for zone, _ in found}) == 1:
            text = f'Group "{group}" is in {found[0][0]} only.'
            yield checks.Finding(('targets', found[0][1], 'zone'), text)
