"""Tests of identifiers and shards."""

import random

from vanillayoke.core import ids
from vanillayoke.testing import fixtures


def test_hash_is_the_same_on_all_instances_and_versions(case):
    case.assertEqual(987199626371827260, ids.hash_key('shard', 'prg-1'))


def test_programs_of_one_root_share_a_shard(case):
    root = ids.derive_program_id('tkacik', 'key-1')
    child = ids.derive_child_id(root, 'key-2')
    grandchild = ids.derive_child_id(child, 'key-2')
    shards = {ids.find_shard(program) for program in (root, child, grandchild)}
    case.assertEqual(1, len(shards))
    case.assertEqual(3, len({root, child, grandchild}))


def test_ids_of_two_clients_differ_for_the_same_key(case):
    first = ids.derive_program_id('tkacik', 'key')
    second = ids.derive_program_id('shiretoko', 'key')
    case.assertNotEqual(first, second)


def test_joined_parts_are_unambiguous(case):
    case.assertNotEqual(
        ids.derive_program_id('ab', 'c'), ids.derive_program_id('a', 'bc')
    )


def test_random_ids_come_from_the_given_generator(case):
    generated = [ids.make_id('x', random.Random(1)) for _ in range(2)]
    case.assertEqual(generated[0], generated[1])


load_tests = fixtures.adapt(__name__)
