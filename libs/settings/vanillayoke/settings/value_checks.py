"""Checks of single values: ranges, syntax and allowed values."""

import functools
import ipaddress
import re
import typing

from vanillayoke.settings import checks
from vanillayoke.settings import configuration
from vanillayoke.settings import decoding

_POSITIVE = (
    'agents.*.max_tokens',
    'agents.*.call_timeout',
    'agents.*.progress_timeout',
    'agents.*.budget.tokens',
    'agents.*.budget.calls',
    'agents.*.budget.seconds',
    'tools.*.timeout',
    'targets.*.cache_tokens',
    'targets.*.slots',
    'clients.*.weight',
    'clients.*.calls_per_second',
    'clients.*.running_programs',
    'policy.repeated_steps',
)
_NOT_NEGATIVE = (
    'agents.*.budget.money',
    'tools.*.reserved_money',
    'models.*.minimum_copies',
    'models.*.money_per_million_tokens',
)
_FRACTIONS = ('policy.urgent_reserve', 'policy.retry_fraction')
_NAMES = (
    'agents.*.model',
    'targets.*.zone',
    'targets.*.region',
    'tools.*.service',
    'models.*.version',
)
CHOICES = {
    'targets.*.kind': configuration.TARGET_KINDS,
    'targets.*.fencing': configuration.FENCING,
    'policy.placement': configuration.PLACEMENTS,
    'policy.order': configuration.ORDERS,
    'policy.admission': configuration.ADMISSIONS,
    'policy.cache_lifetime': configuration.CACHE_LIFETIMES,
}
_SECTIONS = ('agents', 'tools', 'targets', 'clients', 'models')
_ENTRY_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}')
_TOOL_NAME = re.compile(r'[A-Za-z0-9_-]{1,64}')
_KEY_HASH = re.compile(r'[0-9a-f]{64}')
_MAX_PORT = 65535

_VALUES = checks.Scope.VALUES


def check_positive(
    patterns: typing.Iterable[str], values: decoding.Values
) -> typing.Iterator[checks.Finding]:
    """Find numbers that are zero or below."""
    return _check_numbers(
        patterns, lambda number: number > 0, 'is not above 0', values
    )


def check_not_negative(
    patterns: typing.Iterable[str], values: decoding.Values
) -> typing.Iterator[checks.Finding]:
    """Find numbers below zero."""
    return _check_numbers(
        patterns, lambda number: number >= 0, 'is below 0', values
    )


def check_fractions(
    patterns: typing.Iterable[str], values: decoding.Values
) -> typing.Iterator[checks.Finding]:
    """Find fractions outside 0 to 1."""
    return _check_numbers(
        patterns, lambda number: 0 <= number <= 1, 'is not in 0 to 1', values
    )


def _check_numbers(
    patterns: typing.Iterable[str],
    is_valid: typing.Callable[[float], bool],
    problem: str,
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    for pattern in patterns:
        for path, value in values.select(pattern):
            if not is_valid(value):
                yield checks.Finding(path, f'{value} {problem}.')


def check_choices(
    choices: dict[str, tuple[str, ...]], values: decoding.Values
) -> typing.Iterator[checks.Finding]:
    """Find texts that are not one of the allowed values."""
    for pattern, allowed in choices.items():
        for path, value in values.select(pattern):
            if value not in allowed:
                text = f'"{value}" is not one of {", ".join(allowed)}.'
                yield checks.Finding(path, text)


def check_addresses(
    patterns: typing.Iterable[str], values: decoding.Values
) -> typing.Iterator[checks.Finding]:
    """Find addresses that are not ``IP:PORT``."""
    for pattern in patterns:
        for path, value in values.select(pattern):
            problem = find_address_problem(value)
            if problem:
                yield checks.Finding(path, problem)


def check_present(
    patterns: typing.Iterable[str], values: decoding.Values
) -> typing.Iterator[checks.Finding]:
    """Find texts that are empty or only whitespace."""
    for pattern in patterns:
        for path, value in values.select(pattern):
            if not value.strip():
                yield checks.Finding(path, 'The text is empty.')


def find_address_problem(address: str) -> str | None:
    """Return what is wrong with an ``IP:PORT``, ``None`` if it is valid.

    IPv6 addresses are written in brackets: ``[::1]:7000``.
    """
    host, colon, port = address.rpartition(':')
    if not colon:
        return f'"{address}" has no port.'
    if not re.fullmatch('[0-9]{1,5}', port):
        return f'"{port}" is not a port number.'
    if not 0 < int(port) <= _MAX_PORT:
        return f'The port {port} is not in 1 to {_MAX_PORT}.'
    bracketed = host.startswith('[') and host.endswith(']')
    try:
        parsed = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return f'"{host}" is not an IP address.'
    if bracketed != (parsed.version == 6):
        return f'"{host}" must be 1.2.3.4 or [::1].'
    return None


_add = functools.partial(checks.add_check, _VALUES)
_add(
    'E101',
    'A number must be above 0.',
    'Give a number above 0.',
    functools.partial(check_positive, _POSITIVE),
)
_add(
    'E102',
    'A number must not be below 0.',
    'Give 0 or more.',
    functools.partial(check_not_negative, _NOT_NEGATIVE),
)
_add(
    'E103',
    'A text is not on the list of allowed ones.',
    'Take one of the names listed in docs/reference/settings.md.',
    functools.partial(check_choices, CHOICES),
)
_add(
    'E104',
    'A target address is not IP:PORT.',
    'Write it like 10.0.0.7:8000 or [fd00::7]:8000; host names are not '
    'looked up.',
    functools.partial(check_addresses, ('targets.*.address',)),
)
_add(
    'E105',
    'A required text is empty.',
    'Give the name.',
    functools.partial(check_present, _NAMES),
)
_add(
    'E106',
    'A fraction is not from 0 to 1.',
    'Give a number such as 0.1.',
    functools.partial(check_fractions, _FRACTIONS),
)


@checks.register(
    _VALUES,
    'E107',
    'The name of an entry has characters that are not allowed.',
    'Begin with a letter or digit and use letters, digits and . _ - : / only; '
    'in names of tools use letters, digits, _ and - only.',
)
def check_names(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find names that are not valid in addresses, metrics or engines."""
    for section in _SECTIONS:
        allowed = _TOOL_NAME if section == 'tools' else _ENTRY_NAME
        for name in values.list_names(section):
            if not allowed.fullmatch(name):
                yield checks.Finding(
                    (section, name), f'"{name}" is not a valid name.'
                )


@checks.register(
    _VALUES,
    'E108',
    'A client key hash is not a SHA-256 in hex.',
    'Give 64 lowercase hex digits, as sha256sum prints them, never the key '
    'itself.',
)
def check_key_hashes(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find key hashes that are not 64 lowercase hex digits.

    The fault does not repeat the value: it may be a key given by mistake.
    """
    for path, value in values.select('clients.*.key_hashes.#'):
        if not _KEY_HASH.fullmatch(value):
            yield checks.Finding(
                path, 'The hash is not 64 lowercase hex digits.'
            )


@checks.register(
    _VALUES,
    'E109',
    "A tool's path is not an absolute URL path.",
    'Begin it with /, without host, query or spaces.',
)
def check_tool_paths(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find paths that are not absolute or have a query or fragment."""
    for path, value in values.select('tools.*.path'):
        if not re.fullmatch(r'/[^\s?#]*', value):
            yield checks.Finding(path, f'"{value}" is not an absolute path.')
