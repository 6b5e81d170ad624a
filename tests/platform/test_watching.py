"""Tests of reporting how the platform's services do."""

import random

from vanillayoke.core import events
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import timers
from vanillayoke.fakes import platform_memory
from vanillayoke.platform import ports
from vanillayoke.platform import watching
from vanillayoke.testing import fixtures


@fixtures.fixture
def clock(loop):
    return timers.LoopTimers(loop)


@fixtures.fixture
def memory(clock):
    return platform_memory.MemoryPlatform(clock, random.Random(1))


@fixtures.fixture
def reporters(clock):
    logger = logs.Logger.from_config('i1', clock)
    return watching.Reporters(clock, logger, metrics.Metrics())


@fixtures.fixture
def platform(memory, reporters):
    return watching.watch_platform(memory.for_caller('i1'), reporters)


def _list_events(reporters):
    dump = reporters.logger.timeline.dump()
    return [(event['number'], event['fields']) for event in dump['events']]


async def test_outage_is_reported_once_with_its_length(
    case, memory, platform, reporters
):
    memory.faults.down = True
    await platform.table.read('a')
    await platform.table.scan('a')
    memory.faults.down = False
    await platform.table.read('a')
    down, up = _list_events(reporters)
    case.assertEqual(events.STORE_DOWN.number, down[0])
    case.assertEqual('table', down[1]['service'])
    case.assertEqual(events.STORE_UP.number, up[0])
    case.assertEqual(memory.faults.timeout, up[1]['seconds'])


async def test_lost_reply_is_no_outage(case, memory, platform, reporters):
    memory.faults.lost_replies = 1
    await platform.table.transact('w', [ports.Put('a', b'', 0)])
    [lost] = _list_events(reporters)
    case.assertEqual(events.STORE_UNCERTAIN.number, lost[0])
    case.assertIn(
        'vanillayoke_store_up{service="table"} 0',
        reporters.registry.render().body.decode(),
    )


async def test_outages_of_services_are_told_apart(
    case, memory, platform, reporters
):
    memory.faults.cut_callers = {'i1'}
    await platform.objects.get('o')
    await platform.weights.read_rate()
    await platform.instances.list_instances()
    case.assertEqual(
        ['objects', 'weights', 'instances'],
        [fields['service'] for _, fields in _list_events(reporters)],
    )


load_tests = fixtures.adapt(__name__)
