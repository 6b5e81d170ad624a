"""Tests of the targets that an instance knows, row by row."""

from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import messages
from vanillayoke.testing import fixtures


@fixtures.fixture
def catalog():
    return catalog_module.Catalog()


def _make(name, service='models', is_leaving=False):
    return messages.Target(
        name, service, '10.0.0.1:80', 'z1', 6, is_leaving, 1
    )


def _names(catalog, service='models'):
    return [one.name for one in catalog.list_targets(service)]


def test_heartbeat_tells_nothing_new(case, catalog):
    """1,700 targets write a row each second or so that says the same.

    Each made the index of all targets anew and wrote a line: a third of a
    core of each instance went into rows that change nothing.
    """
    case.assertTrue(catalog.put_target(_make('a'), 1))
    before = catalog.list_targets('models')
    case.assertFalse(catalog.put_target(_make('a'), 2))
    case.assertIs(before, catalog.list_targets('models'))


def test_heartbeat_ends_a_lapse(case, catalog):
    """A row that had lapsed is written again, the same as before."""
    catalog.put_target(_make('a'), 1)
    catalog.mark_target_missing('a', 2, until=10.0)
    case.assertTrue(catalog.put_target(_make('a'), 3))
    case.assertEqual([], catalog.expire(20.0))
    case.assertEqual(['a'], _names(catalog))


def test_target_changes_its_service(case, catalog):
    catalog.put_target(_make('a'), 1)
    catalog.put_target(_make('b'), 2)
    case.assertEqual(['a', 'b'], _names(catalog))
    catalog.put_target(_make('a', 'tools'), 3)
    case.assertEqual(['b'], _names(catalog))
    case.assertEqual(['a'], _names(catalog, 'tools'))


def test_leaving_target_gets_no_new_work(case, catalog):
    catalog.put_target(_make('a'), 1)
    case.assertEqual(['a'], _names(catalog))
    catalog.put_target(_make('a', is_leaving=True), 2)
    case.assertEqual([], _names(catalog))
    case.assertIn('a', catalog.target_names)
    catalog.mark_target_missing('a', 3, None)
    case.assertNotIn('a', catalog.target_names)


def test_list_that_is_in_use_stays_as_it_was(case, catalog):
    """A request goes through a service's targets while one of them leaves."""
    catalog.put_target(_make('a'), 1)
    catalog.put_target(_make('b'), 2)
    found = catalog.list_targets('models')
    catalog.mark_target_missing('a', 3, None)
    case.assertEqual(['a', 'b'], [one.name for one in found])
    case.assertEqual(['b'], _names(catalog))


load_tests = fixtures.adapt(__name__, [])
