"""How commands reach the platform's table and object store."""

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
LONGEST_REQUEST = 3.0
VARIABLES = {
    'table': 'VANILLAYOKE_TABLE',
    'objects': 'VANILLAYOKE_OBJECTS',
}


class _BadStores(typing.NamedTuple):
    """The flags do not say where the services are."""

    text: str


class Stores(typing.NamedTuple):
    """Base URLs; ``timeout`` bounds repeated requests, in seconds."""

    table: str
    objects: str
    timeout: float

    @contextlib.asynccontextmanager
    async def open_publisher(
        self,
    ) -> typing.AsyncIterator[publishing.Publisher]:
        """Give a publisher and close its connections afterwards."""
        service = timers.LoopTimers(asyncio.get_running_loop())
        limit = min(self.timeout, LONGEST_REQUEST)
        opened = [
            links.Link(links.LinkSettings(url, CALLER, timeout=limit), service)
            for url in (self.table, self.objects)
        ]
        shared = (
            service,
            random.SystemRandom(),
            attempts.RetrySettings(deadline=self.timeout),
        )
        try:
            yield publishing.Publisher(
                retrying.RetryingTable(http.HttpTable(opened[0]), *shared),
                retrying.RetryingObjects(http.HttpObjects(opened[1]), *shared),
            )
        finally:
            for link in opened:
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
        'Seconds after which no more is tried to reach the store.',
        lower_bound=0.01,
        flag_values=values,
    )


def read_stores(invocation: commands.Invocation) -> Stores | None:
    """Return where the services are, from flags and environment.

    Where these do not tell, say so and return ``None``.
    """
    found = _find_stores(invocation)
    if isinstance(found, Stores):
        return found
    invocation.warn(found.text)
    return None


def _find_stores(invocation: commands.Invocation) -> Stores | _BadStores:
    urls = {}
    for name, variable in VARIABLES.items():
        url = invocation.flags[name].value
        urls[name] = url or invocation.environ.get(variable, '')
        if not urls[name]:
            return _BadStores(f'Give --{name}=URL or set {variable}.')
        problem = process_checks.find_url_problem(urls[name])
        if problem:
            return _BadStores(f'--{name}: {problem}')
    return Stores(**urls, timeout=invocation.flags.store_timeout)
