"""How the operator reaches instances: addresses, key and timeout.

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


class Access(typing.NamedTuple):
    """Entry addresses, best first; ``timeout`` in seconds."""

    entries: tuple[str, ...]
    key: str
    timeout: float

    def open_client(self) -> operators.OperatorClient:
        """Return a client to be used as a context manager."""
        return operators.OperatorClient(self.key, self.timeout)


class _BadAccess(typing.NamedTuple):
    """The flags do not say how to reach an instance."""

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
        operators.DEFAULT_TIMEOUT,
        'Seconds until a request counts as lost.',
        lower_bound=0.01,
        flag_values=values,
    )


def read_access(invocation: commands.Invocation) -> Access | None:
    """Return how to reach instances, from flags and environment.

    Where these do not tell, say so and return ``None``.
    """
    found = _find_access(invocation)
    if isinstance(found, Access):
        return found
    invocation.warn(found.text)
    return None


def _find_access(invocation: commands.Invocation) -> Access | _BadAccess:
    given = invocation.flags.entry
    if not given:
        given = invocation.environ.get(ENTRY_VARIABLE, '').split(',')
    entries = tuple(entry.strip() for entry in given if entry.strip())
    if not entries:
        return _BadAccess(f'Give --entry=IP:PORT or set {ENTRY_VARIABLE}.')
    for entry in entries:
        problem = value_checks.find_address_problem(entry)
        if problem:
            return _BadAccess(f'--entry: {problem}')
    key = _read_key(invocation)
    if isinstance(key, _BadAccess):
        return key
    return Access(entries, key, invocation.flags.request_timeout)


def _read_key(invocation: commands.Invocation) -> str | _BadAccess:
    file = invocation.flags.operator_key_file
    if not file:
        key = invocation.environ.get(KEY_VARIABLE, '').strip()
        if key:
            return key
        return _BadAccess(f'Give --operator_key_file or set {KEY_VARIABLE}.')
    try:
        with open(file, encoding='utf-8') as stream:
            key = stream.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        return _BadAccess(f'--operator_key_file {file}: {error}')
    return key or _BadAccess(f'--operator_key_file {file} is empty.')
