"""Tests of the placement of model copies on engines."""

from vanillayoke.scheduling import models
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures


def make_engines(**loaded):
    """Return engines whose names begin with the zone, with their models."""
    return [
        models.EngineCopies(name, name[0], frozenset(names))
        for name, names in loaded.items()
    ]


def plan_after_delay(engines, now=0.0, **settings):
    """Return the plans after copies have been missing for long enough."""
    settings_by_model = {'m': configuration.ModelSettings(**settings)}
    planner = models.CopyPlanner()
    planner.choose(engines, settings_by_model, now)
    later = now + models.MISSING_COPY_DELAY_SECONDS
    return planner.choose(engines, settings_by_model, later)


def list_chosen(chosen):
    return sorted(target for target, plan in chosen.items() if plan.needed)


def test_missing_copies_spread_over_zones(case):
    engines = make_engines(a1={'m'}, a2=(), a3=(), b1=(), c1=())
    chosen = plan_after_delay(engines, minimum_copies=3)
    case.assertEqual(['b1', 'c1'], list_chosen(chosen))


def test_choice_does_not_change_while_an_engine_loads(case):
    """Otherwise several engines would load the model.

    Reports show a copy only after its load has finished.
    """
    engines = make_engines(a1=(), a2=(), b1=())
    first = plan_after_delay(engines, minimum_copies=1)
    case.assertEqual(1, len(list_chosen(first)))
    case.assertEqual(first, plan_after_delay(engines[::-1], minimum_copies=1))


def test_short_absence_of_a_copy_causes_no_load(case):
    """A restart of an engine must not cause a load elsewhere."""
    planner = models.CopyPlanner()
    settings_by_model = {'m': configuration.ModelSettings(minimum_copies=1)}
    present = make_engines(a1={'m'}, b1=())
    absent = make_engines(b1=())
    for now, engines in (
        (0.0, present),
        (1.0, absent),
        (15.9, absent),
        (16.0, present),
    ):
        chosen = planner.choose(engines, settings_by_model, now)
        case.assertEqual([], list_chosen(chosen))
    planner.choose(absent, settings_by_model, 20.0)
    case.assertEqual(
        [], list_chosen(planner.choose(absent, settings_by_model, 30.0))
    )
    case.assertEqual(
        ['b1'], list_chosen(planner.choose(absent, settings_by_model, 35.0))
    )


def test_pinned_copies_are_loaded_at_once(case):
    engines = make_engines(a1=(), b1=())
    settings_by_model = {
        'm': configuration.ModelSettings(pinned=('b1', 'gone'))
    }
    chosen = models.CopyPlanner().choose(engines, settings_by_model, 0.0)
    case.assertEqual(['b1'], list_chosen(chosen))


def test_superfluous_copies_are_unloaded_late_and_one_by_one(case):
    """Unloading them all at once could leave the model without a copy."""
    engines = make_engines(a1={'m'}, a2={'m'}, b1={'m'}, c1={'m'})
    settings = configuration.ModelSettings(minimum_copies=2, pinned=('a2',))
    spare = models.list_spare_copies('m', settings, engines)
    case.assertEqual(2, len(spare))
    case.assertIn('a1', spare)
    planner = models.CopyPlanner()
    planner.choose(engines, {'m': settings}, 0.0)
    for rank in range(3):
        now = (
            models.SPARE_COPY_DELAY_SECONDS
            + rank * models.SPARE_COPY_INTERVAL_SECONDS
            - 1.0
        )
        plans = planner.choose(engines, {'m': settings}, now)
        unloaded = sorted(name for name, plan in plans.items() if plan.spare)
        case.assertEqual(spare[:rank], unloaded)


def test_version_is_rolled_out_in_the_order_of_engine_names(case):
    loaded = {'e1': {'m': '2'}, 'e2': {'m': '1'}, 'e3': {'m': '1'}}
    case.assertTrue(models.may_roll('e2', 'm', '2', loaded))
    case.assertFalse(models.may_roll('e3', 'm', '2', loaded))
    unresponsive = {'e1': None, 'e2': {'m': '1'}}
    case.assertFalse(models.may_roll('e2', 'm', '2', unresponsive))
    case.assertTrue(models.may_roll('e2', 'm', '2', {'e1': {'n': '1'}}))


def test_concurrent_loads_share_the_rate(case):
    size = int(models.MAX_LOAD_SECONDS * 1e9)
    case.assertTrue(models.fits_window(size, 1e9, 0))
    case.assertFalse(models.fits_window(size, 1e9, 1))


load_tests = fixtures.adapt(__name__)
