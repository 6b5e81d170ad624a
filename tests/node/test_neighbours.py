"""Tests of who watches whom, and who should own what."""

import random

from tests.node import machines
from vanillayoke.cluster import messages
from vanillayoke.cluster import rows
from vanillayoke.core import timers
from vanillayoke.node import neighbours
from vanillayoke.node import watcher
from vanillayoke.platform import ports
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

_ZONES = ('ba-petrzalka', 'ba-ruzinov', 'tt-hall')
_NAMES = [f'{zone}-{number}' for zone in _ZONES for number in (1, 2, 3, 4)]


@fixtures.fixture
def cluster(loop):
    return machines.Cluster(loop)


def _make_row(name):
    return rows.InstanceRow(
        name=name,
        incarnation=f'{name}-1f',
        zone=name.rpartition('-')[0],
        region='sk-west',
        entry_address='',
        peer_address='',
    )


def _make_member(name, state=messages.State.ALIVE):
    zone = name.rpartition('-')[0]
    return messages.Member(name, 1, zone, 'sk-west', '', '', state)


async def _build(cluster, name):
    known = watcher.Watcher(
        f'{name}-1f',
        cluster.platform.table,
        timers.LoopTimers(cluster.loop),
        random.Random(1),
        process.LeaseSettings(),
        lambda writes: None,
    )
    await known.scan()
    around = neighbours.Neighbours(_make_row(name), known)
    around.update([_make_member(other) for other in _NAMES])
    return around


async def _build_all(cluster):
    for name in _NAMES:
        row = _make_row(name)
        key = rows.name_instance_row(row.incarnation)
        put = ports.Put(key, rows.encode_row(row), 0)
        await cluster.platform.table.transact(name, [put])
    return {name: await _build(cluster, name) for name in _NAMES}


def _list_watchers(built, watched):
    return [
        name
        for name, around in built.items()
        if f'{watched}-1f' in around.list_watched()
    ]


async def test_two_of_other_zones_watch_each_lease(case, cluster):
    """Programs stand still for twelve seconds after a zone was lost.

    The watchers of a lease were in the same zone and died with it; others
    began to watch only when membership had given them up.
    """
    built = await _build_all(cluster)
    for watched in _NAMES:
        watchers = _list_watchers(built, watched)
        case.assertEqual(2, len(watchers))
        for name in watchers:
            case.assertNotIn(watched.rpartition('-')[0], name)


async def test_suspected_watcher_is_replaced(case, cluster):
    built = await _build_all(cluster)
    watched = _NAMES[0]
    suspected = _list_watchers(built, watched)[0]
    states = {suspected: messages.State.SUSPECTED}
    for around in built.values():
        around.update(
            [
                _make_member(name, states.get(name, messages.State.ALIVE))
                for name in _NAMES
            ]
        )
    others = set(_list_watchers(built, watched)) - {suspected}
    case.assertEqual(2, len(others))


async def test_member_without_a_live_row_owns_nothing(case, cluster):
    built = await _build_all(cluster)
    around = built[_NAMES[0]]
    before = len(around.list_own_shards())
    around.update([_make_member(name) for name in [*_NAMES, 'ghost-1']])
    case.assertEqual(['ghost-1'], around.list_unknown())
    case.assertEqual(before, len(around.list_own_shards()))
    around.leave()
    case.assertEqual([], around.list_own_shards())


load_tests = fixtures.adapt(__name__)
