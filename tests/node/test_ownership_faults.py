"""Tests of pauses, deaths and store faults at every step of ownership."""

import asyncio

from tests.node import machines
from vanillayoke.cluster import messages
from vanillayoke.testing import fixtures

_PAUSE = 20.0


async def _stop_all(cluster, load):
    await load.stop()
    for machine in cluster.started:
        machine.gate.open()
        await machine.kill()


async def _run_pause(case, loop, pass_number):
    """Pause the first of two instances at one await; return its passes."""
    cluster = machines.Cluster(loop)
    first = await cluster.add('one')
    second = await cluster.add('two')
    load = machines.Workload(cluster, 12)
    before = first.gate.passed
    first.gate.pause_at = before + pass_number
    first.gate.on_pause = lambda: loop.call_later(_PAUSE, first.gate.open)
    load.start(first)
    load.start(second)
    await asyncio.sleep(2.5)
    cluster.set_state('one', messages.State.FAILED)
    await asyncio.sleep(_PAUSE + 10.0)
    passed = first.gate.passed - before
    load.check_order(case)
    load.check_kept(case, first, second)
    lost = first.journal.lease.is_lost
    await _stop_all(cluster, load)
    return passed, lost


async def test_paused_holder_never_acts_behind_its_successor(case, loop):
    """An order is sent twice, by a paused instance and by its successor.

    An instance stands still at some await, its lease runs out and another
    one takes over. When it goes on, it must find that out before its next
    act; and whatever it had acknowledged must be with the successor.
    """
    fenced = 0
    for pass_number in range(1, 120, 4):
        _, lost = await _run_pause(case, loop, pass_number)
        fenced += lost
    case.assertGreater(fenced, 20)


async def test_long_outage_of_the_store_moves_nothing(case, loop):
    """All programs move, or stand still, since the store was down a minute.

    Nobody can renew in the outage. If watchers counted on through it, they
    would fence live holders as soon as the store is back.
    """
    cluster = machines.Cluster(loop)
    started = [await cluster.add(name) for name in ('one', 'two', 'three')]
    await asyncio.sleep(30.0)
    load = machines.Workload(cluster, 12)
    for machine in started:
        load.start(machine)
    await asyncio.sleep(5.0)
    owned = cluster.list_owned()
    for outage in (3.0, 5.0, 6.5, 8.0, 60.0):
        cluster.faults.down = True
        await asyncio.sleep(outage)
        cluster.faults.down = False
        await asyncio.sleep(10.0)
        case.assertEqual(owned, cluster.list_owned(), outage)
        for machine in started:
            case.assertFalse(machine.journal.lease.is_lost, outage)
    load.check_order(case)
    load.check_kept(case, *started)
    await _stop_all(cluster, load)


load_tests = fixtures.adapt(__name__)
