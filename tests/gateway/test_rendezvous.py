"""Tests of the coordinators of many keys while instances come and go."""

import random

from vanillayoke.gateway import rendezvous
from vanillayoke.testing import fixtures


def test_coordinators_follow_every_change_of_the_instances(case):
    """An instance would report targets that another one coordinates."""
    rng = random.Random(1)
    keys = [f't{number}' for number in range(50)]
    names = [f'i{number}' for number in range(12)]
    coordinators = rendezvous.Coordinators()
    for _ in range(200):
        instances = frozenset(rng.sample(names, rng.randrange(len(names))))
        listed = rng.sample(keys, 40)
        known = coordinators.update(listed, instances)
        expected = {
            key: rendezvous.find_highest(key, instances) for key in listed
        }
        case.assertEqual(expected, known)


def _make_peers(zones):
    return tuple(
        rendezvous.Peer(f'i{number}', f'a{number}', zone)
        for number, zone in enumerate(zones)
    )


def test_ranking_takes_instances_of_different_zones(case):
    """What two instances of one zone hold would be lost with the zone."""
    ranking = rendezvous.ZoneRanking()
    peers = _make_peers(['z1'] * 6 + ['z2'] * 2 + ['z3'])
    for number in range(50):
        chosen = ranking.list_highest(f'k{number}', peers, 2)
        case.assertEqual(2, len({peer.zone for peer in chosen}))


def test_ranking_fills_up_from_the_zones_that_there_are(case):
    ranking = rendezvous.ZoneRanking()
    for zones in (['z1'] * 4, ['z1'] * 3 + ['z2']):
        chosen = ranking.list_highest('k', _make_peers(zones), 3)
        case.assertEqual(3, len(set(chosen)))
    case.assertEqual(1, len(ranking.list_highest('k', _make_peers(['z1']), 3)))
    case.assertEqual([], ranking.list_highest('k', (), 3))


def test_ranking_changes_only_for_keys_of_a_lost_instance(case):
    """What the others hold must be found after an instance has failed."""
    ranking = rendezvous.ZoneRanking()
    peers = _make_peers(['z1', 'z2', 'z3'] * 4)
    remaining = peers[1:]
    for number in range(100):
        before = ranking.list_highest(f'k{number}', peers, 2)
        after = ranking.list_highest(f'k{number}', remaining, 2)
        if peers[0] in before:
            case.assertIn(next(p for p in before if p != peers[0]), after)
        else:
            case.assertEqual(before, after)


load_tests = fixtures.adapt(__name__)
