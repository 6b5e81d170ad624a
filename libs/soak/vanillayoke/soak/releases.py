"""Releases of a software version while one instance is out of step.

In some runs all model servers have one version until then, so that an
instance may conclude which version began a stream. Streams that begin at the
new version elsewhere break off and are resumed at the instance that has not
heard of it.
"""

import random
import typing

# The instance loses the store, or stands still.
CUT_KIND, FREEZE_KIND = 'store_release', 'freeze_release'
KINDS = CUT_KIND, FREEZE_KIND
SECONDS = (1.6, 2.7)
# Instances have followed the servers for a while before.
EARLIEST_SECONDS = 2.0
# Streams begin at the new version before they break off.
BEGIN_SECONDS = 0.7
# Callers come back to an instance that stands still just before it goes on.
EARLY_SECONDS = 0.2
# All streams of the other instances break off as often.
RESET_INTERVAL_SECONDS = 0.3
_RUN_INTERVAL = 2


class Release(typing.NamedTuple):
    """A release; the fields are those of plans.Fault."""

    at: float
    kind: str
    subject: int
    seconds: float
    strength: float


def has_release(seed: int) -> bool:
    """Return whether servers change their version by a release only."""
    return random.Random(f'release {seed}').randrange(_RUN_INTERVAL) == 0


def generate_faults(seed: int, faulty: float) -> list[Release]:
    """Generate the release of a run, if it has one."""
    if not has_release(seed):
        return []
    rng = random.Random(f'release times {seed}')
    seconds = round(rng.uniform(*SECONDS), 2)
    latest = max(EARLIEST_SECONDS, faulty - seconds)
    at = round(rng.uniform(EARLIEST_SECONDS, latest), 2)
    kind = rng.choice(KINDS)
    return [Release(at, kind, rng.randrange(1000), seconds, 1.0)]


def name_version(release: int) -> str:
    """Return the software version of the servers that start then."""
    return f'v{release}'
