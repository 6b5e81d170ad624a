"""Tests of how often targets are polled."""

from vanillayoke.node import feeds
from vanillayoke.testing import fixtures


def test_few_targets_are_polled_often(case):
    intervals = feeds.find_intervals(local=4, distant=0)
    case.assertEqual(feeds.INTERVAL, intervals.local)


def test_polls_a_second_do_not_grow_with_the_targets(case):
    """Instances spend all their time on asking 1,700 targets."""
    for local, distant in ((212, 1488), (1700, 0), (50, 5000)):
        intervals = feeds.find_intervals(local, distant)
        case.assertLessEqual(local / intervals.local, feeds.LOCAL_POLLS)
        case.assertLessEqual(distant / intervals.distant, feeds.DISTANT_POLLS)


load_tests = fixtures.adapt(__name__)
