"""Tests of the configuration in force in one process."""

import random

from vanillayoke.core import failures
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.node import configuration as node_configuration
from vanillayoke.platform import publishing
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures


@fixtures.fixture
def platform(loop):
    clock = timers.LoopTimers(loop, lambda: 0.0)
    return platform_memory.MemoryPlatform(clock, random.Random(1))


@fixtures.fixture
def holder(loop, platform):
    clock = timers.LoopTimers(loop, lambda: 0.0)
    return node_configuration.ConfigurationHolder(
        platform.table, platform.objects, clock
    )


def _publish(version: int) -> configuration.PublishedConfiguration:
    return configuration.PublishedConfiguration(
        version=version,
        author='operator',
        configuration=configuration.Configuration(),
    )


def test_older_version_never_replaces_a_newer_one(case, holder):
    """An operator's change is undone by an instance that lags.

    The instance has version 3 in force when a peer, or a read that was
    long under way, offers version 2.
    """
    seen = []
    holder.subscribe(lambda published: seen.append(published.version))
    case.assertTrue(holder.offer(_publish(3)))
    case.assertFalse(holder.offer(_publish(2)))
    case.assertFalse(holder.offer(_publish(3)))
    case.assertEqual([3], seen)
    case.assertEqual(3, holder.version)


async def test_large_configuration_is_read_from_its_object(
    case, holder, platform
):
    """An accepted change reaches no instance at all.

    A configuration too large for a row lies in an object that the row
    only names; a reader that takes the row for the configuration fails.
    """
    tools = {
        f'tool-{number}': configuration.ToolSettings(
            service='group', path='/path', idempotent=True
        )
        for number in range(2000)
    }
    publisher = publishing.Publisher(platform.table, platform.objects)
    current = await publisher.read_current()
    case.assertFalse(failures.is_failure(current))
    draft = publishing.Draft(
        current,
        configuration.Configuration(tools=tools),
        'operator',
        'published-1',
    )
    await publisher.publish(draft)
    await holder.refresh()
    case.assertEqual(2000, len(holder.current.tools))


load_tests = fixtures.adapt(__name__)
