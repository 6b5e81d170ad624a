"""Tests of passive health checks."""

from vanillayoke.scheduling import health
from vanillayoke.scheduling import occupancy
from vanillayoke.testing import fixtures

CANDIDATES = [
    occupancy.Candidate(name, 4, 'z1') for name in ('a', 'b', 'c', 'd')
]


@fixtures.fixture
def view():
    return occupancy.Occupancy()


def _choose(view, now):
    criteria = occupancy.PlacementCriteria(None, 'z1')
    return occupancy.choose_by_own_view(
        CANDIDATES, view, criteria, (), now, lambda: 0.0
    )


def test_fast_failing_server_does_not_attract_requests(case, view):
    """A server that fails each request at once always has the lowest load."""
    for name in 'bcd':
        for _ in range(3):
            view.begin(name)
    failed = 0
    for step in range(200):
        now = step * 0.01
        name = _choose(view, now).name
        view.begin(name)
        view.record_outcome(name, name != 'a', now)
        view.end(name)
        failed += name == 'a'
    case.assertLessEqual(failed, 6)


def test_single_failure_does_not_pause_a_server(case):
    target = health.Health()
    for _ in range(20):
        target.record_outcome(True, 0.0)
    target.record_outcome(False, 0.0)
    case.assertFalse(target.should_avoid(0.0, 3))


def test_recovered_server_is_used_again_after_a_probe(case):
    target = health.Health()
    for _ in range(3):
        target.record_outcome(False, 0.0)
    case.assertTrue(target.should_avoid(0.1, 0))
    case.assertFalse(target.should_avoid(0.6, 0))
    case.assertTrue(target.should_avoid(0.6, 1))
    for _ in range(3):
        target.record_outcome(True, 0.7)
    case.assertFalse(target.should_avoid(0.7, 5))


def test_pauses_grow_while_probes_fail(case):
    target = health.Health()
    now = 0.0
    probes = 0
    while now < 20.0:
        if not target.should_avoid(now, 0):
            target.record_outcome(False, now)
            probes += 1
        now += 0.05
    case.assertLess(probes, 10)


def test_service_is_used_if_all_its_targets_look_unhealthy(case, view):
    """One instance with a bad link must not stop using a whole service."""
    for candidate in CANDIDATES:
        for _ in range(3):
            view.record_outcome(candidate.name, False, 0.0)
    case.assertIsNotNone(_choose(view, 0.1))


load_tests = fixtures.adapt(__name__)
