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


load_tests = fixtures.adapt(__name__)
