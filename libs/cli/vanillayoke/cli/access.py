"""Options for access to instances: addresses, operator key and timeout.

The key comes from a file or the environment, never from the command line,
where every user of the machine could read it.
"""

import typing

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.cli import operators
from vanillayoke.settings import value_checks

ENTRY_VARIABLE = 'VANILLAYOKE_ENTRY'
KEY_VARIABLE = 'VANILLAYOKE_OPERATOR_KEY'


class AccessOptions(typing.NamedTuple):
    """Entry addresses in order of preference; ``timeout`` in seconds."""

    entries: tuple[str, ...]
    key: str
    timeout: float

    def open_client(self) -> operators.OperatorClient:
        """Return a client to be used as a context manager."""
        return operators.OperatorClient(self.key, self.timeout)


class _InvalidOptions(typing.NamedTuple):
    """The flags and environment do not give valid access options."""

    text: str


def add_flags(values: flags.FlagValues) -> None:
    """Define the flags that ``read_access`` reads."""
    flags.DEFINE_list(
        'entry',
        [],
        'Entry addresses IP:PORT, tried in turn; default: the environment '
        f'variable {ENTRY_VARIABLE}.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'operator_key_file',
        '',
        'File that holds the operator key; default: the environment '
        f'variable {KEY_VARIABLE}.',
        flag_values=values,
    )
    flags.DEFINE_float(
        'request_timeout',
        operators.DEFAULT_TIMEOUT_SECONDS,
        'Timeout of a request, in seconds.',
        lower_bound=0.01,
        flag_values=values,
    )


def read_access(invocation: commands.Invocation) -> AccessOptions | None:
    """Return the access options from flags and environment.

    If they are missing or invalid, print the reason and return ``None``.
    """
    options = _parse_options(invocation)
    if isinstance(options, AccessOptions):
        return options
    invocation.warn(options.text)
    return None


def _parse_options(
    invocation: commands.Invocation,
) -> AccessOptions | _InvalidOptions:
    given = invocation.flags.entry
    if not given:
        given = invocation.environ.get(ENTRY_VARIABLE, '').split(',')
    entries = tuple(entry.strip() for entry in given if entry.strip())
    if not entries:
        return _InvalidOptions(
            f'Give --entry=IP:PORT or set {ENTRY_VARIABLE}.'
        )
    for entry in entries:
        problem = value_checks.find_address_problem(entry)
        if problem:
            return _InvalidOptions(f'--entry: {problem}')
    key = _read_key(invocation)
    if isinstance(key, _InvalidOptions):
        return key
    return AccessOptions(entries, key, invocation.flags.request_timeout)


def _read_key(invocation: commands.Invocation) -> str | _InvalidOptions:
    file = invocation.flags.operator_key_file
    if not file:
        key = invocation.environ.get(KEY_VARIABLE, '').strip()
        if key:
            return key
        return _InvalidOptions(
            f'Give --operator_key_file or set {KEY_VARIABLE}.'
        )
    try:
        with open(file, encoding='utf-8') as stream:
            key = stream.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        return _InvalidOptions(f'--operator_key_file {file}: {error}')
    return key or _InvalidOptions(f'--operator_key_file {file} is empty.')
