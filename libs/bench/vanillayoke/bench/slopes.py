"""How costs grow with the size of a deployment.

Run as ``python -m vanillayoke.bench.slopes [GROUP ...]``; prints each slope
as one line of JSON with its points and the line fitted through them. All
groups together take a few minutes and one is run after the other.
"""

import asyncio
import json
import sys
import typing

from vanillayoke.bench import slopes_commits
from vanillayoke.bench import slopes_fit
from vanillayoke.bench import slopes_processes
from vanillayoke.bench import slopes_programs
from vanillayoke.bench import slopes_store
from vanillayoke.bench import slopes_targets
from vanillayoke.harness import virtual
from vanillayoke.testing import loops

_SEED = 11

Measure = typing.Callable[[], list[slopes_fit.Slope]]


def run_site(
    measure: typing.Callable[..., typing.Coroutine], *arguments: typing.Any
) -> typing.Any:
    """Run a measurement on a fresh deployment in virtual time."""
    loop = loops.VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        site = virtual.VirtualSite(loop, _SEED)
        return loop.run_until_complete(measure(site, *arguments))
    finally:
        loop.finish()
        loop.close()


GROUPS: dict[str, Measure] = {
    'instances': slopes_processes.measure,
    'targets': slopes_targets.measure,
    'programs': slopes_programs.measure,
    'store': lambda: slopes_store.measure(run_site),
    'commits': lambda: slopes_commits.measure(run_site),
}


def main(arguments: typing.Sequence[str]) -> int:
    """Print the slopes of the named groups, of all by default."""
    unknown = set(arguments) - GROUPS.keys()
    if unknown:
        sys.stderr.write(f'Groups are: {", ".join(GROUPS)}\n')
        return 2
    for name in arguments or GROUPS:
        for slope in GROUPS[name]():
            described = {'group': name, **slope.describe()}
            print(json.dumps(described), flush=True)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
