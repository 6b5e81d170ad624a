"""Tests of the shares of descriptors."""

from vanillayoke.core import descriptors
from vanillayoke.testing import fixtures

# Callers, directory, readiness, metrics and relay.
AUXILIARY_COUNT = 4


def test_listeners_leave_descriptors_for_connections_to_others(case):
    """Callers' connections used up what targets and the store need."""
    for limit in (300, 1024, 4100, 8200, 100_000):
        shares = descriptors.Shares.from_limit(limit)
        sockets = limit - descriptors.FILE_DESCRIPTORS
        accepted = shares.callers + AUXILIARY_COUNT * shares.auxiliary
        left = sockets - accepted - descriptors.OWN_SOCKETS
        # Each request of a caller has a connection to a target.
        case.assertGreaterEqual(left, shares.callers)


def test_smallest_limit_still_accepts_connections(case):
    """A process with few descriptors must serve some callers."""
    shares = descriptors.Shares.from_limit(64)
    case.assertGreaterEqual(shares.callers, descriptors.MIN_CONNECTIONS)
    case.assertGreaterEqual(shares.auxiliary, descriptors.MIN_CONNECTIONS)


load_tests = fixtures.adapt(__name__)
