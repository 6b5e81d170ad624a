"""Tests of the catalog of targets."""

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
    return [target.name for target in catalog.list_targets(service)]


def test_heartbeat_changes_nothing(case, catalog):
    """The cost of heartbeats would grow with the square of the targets.

    A heartbeat must neither rebuild the list of targets nor be logged.
    """
    case.assertTrue(catalog.put_target(_make('a'), 1))
    before = catalog.list_targets('models')
    case.assertFalse(catalog.put_target(_make('a'), 2))
    case.assertIs(before, catalog.list_targets('models'))


def test_heartbeat_restores_a_missing_target(case, catalog):
    """An expired row is written again, with the same content as before."""
    catalog.put_target(_make('a'), 1)
    catalog.mark_target_missing('a', 2, deadline=10.0)
    case.assertTrue(catalog.put_target(_make('a'), 3))
    case.assertEqual([], catalog.expire(20.0))
    case.assertEqual(['a'], _names(catalog))


def test_target_moves_to_another_service(case, catalog):
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


def test_returned_list_does_not_change(case, catalog):
    """A request iterates over the targets while one of them leaves."""
    catalog.put_target(_make('a'), 1)
    catalog.put_target(_make('b'), 2)
    targets = catalog.list_targets('models')
    catalog.mark_target_missing('a', 3, None)
    case.assertEqual(['a', 'b'], [target.name for target in targets])
    case.assertEqual(['b'], _names(catalog))


load_tests = fixtures.adapt(__name__, [])
