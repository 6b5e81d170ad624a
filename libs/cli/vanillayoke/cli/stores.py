"""Access of commands to the platform's table and object store."""

import asyncio
import contextlib
import random
import typing

from absl import flags

from vanillayoke.cli import commands
from vanillayoke.core import timers
from vanillayoke.platform import attempts
from vanillayoke.platform import http
from vanillayoke.platform import links
from vanillayoke.platform import publishing
from vanillayoke.platform import retrying
from vanillayoke.settings import process_checks

CALLER = 'operator'
MAX_REQUEST_SECONDS = 3.0
VARIABLES = {
    'table': 'VANILLAYOKE_TABLE',
    'objects': 'VANILLAYOKE_OBJECTS',
}


class _InvalidOptions(typing.NamedTuple):
    """The flags and environment do not give valid base URLs."""

    text: str


class Stores(typing.NamedTuple):
    """Base URLs; no retry starts later than ``timeout`` in seconds."""

    table: str
    objects: str
    timeout: float

    @contextlib.asynccontextmanager
    async def open_publisher(
        self,
    ) -> typing.AsyncIterator[publishing.Publisher]:
        """Yield a publisher and close its connections afterwards."""
        service = timers.LoopTimers(asyncio.get_running_loop())
        limit = min(self.timeout, MAX_REQUEST_SECONDS)
        connections = [
            links.Link(links.LinkSettings(url, CALLER, timeout=limit), service)
            for url in (self.table, self.objects)
        ]
        retry_arguments = (
            service,
            random.SystemRandom(),
            attempts.RetrySettings(deadline=self.timeout),
        )
        try:
            yield publishing.Publisher(
                retrying.RetryingTable(
                    http.HttpTable(connections[0]), *retry_arguments
                ),
                retrying.RetryingObjects(
                    http.HttpObjects(connections[1]), *retry_arguments
                ),
            )
        finally:
            for link in connections:
                await link.close()


def add_flags(values: flags.FlagValues) -> None:
    """Define the flags that ``read_stores`` reads."""
    flags.DEFINE_string(
        'table',
        '',
        "Base URL of the platform's table service; default: the "
        f'environment variable {VARIABLES["table"]}.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'objects',
        '',
        "Base URL of the platform's object store; default: the environment "
        f'variable {VARIABLES["objects"]}.',
        flag_values=values,
    )
    flags.DEFINE_float(
        'store_timeout',
        10.0,
        'Seconds after which requests to the store are no longer retried.',
        lower_bound=0.01,
        flag_values=values,
    )


def read_stores(invocation: commands.Invocation) -> Stores | None:
    """Return the base URLs from flags and environment.

    If they are missing or invalid, print the reason and return ``None``.
    """
    options = _parse_options(invocation)
    if isinstance(options, Stores):
        return options
    invocation.warn(options.text)
    return None


def _parse_options(
    invocation: commands.Invocation,
) -> Stores | _InvalidOptions:
    urls = {}
    for name, variable in VARIABLES.items():
        url = invocation.flags[name].value
        urls[name] = url or invocation.environ.get(variable, '')
        if not urls[name]:
            return _InvalidOptions(f'Give --{name}=URL or set {variable}.')
        problem = process_checks.find_url_problem(urls[name])
        if problem:
            return _InvalidOptions(f'--{name}: {problem}')
    return Stores(**urls, timeout=invocation.flags.store_timeout)
