"""Tests of which engines get a model by the operators' settings."""

from vanillayoke.scheduling import models
from vanillayoke.settings import configuration
from vanillayoke.testing import fixtures


def make_engines(**loaded):
    """Return engines named zone and number, each with its models."""
    return [
        models.EngineCopies(name, name[0], frozenset(names))
        for name, names in loaded.items()
    ]


def settle(engines, now=0.0, **settings):
    """Return what a planner chooses once copies have long been missing."""
    wanted = {'m': configuration.ModelSettings(**settings)}
    planner = models.CopyPlanner()
    planner.choose(engines, wanted, now)
    later = now + models.MISSING_PATIENCE
    return planner.choose(engines, wanted, later)


def list_chosen(chosen):
    return sorted(target for target, plan in chosen.items() if plan.needed)


def test_missing_copies_spread_over_zones(case):
    engines = make_engines(a1={'m'}, a2=(), a3=(), b1=(), c1=())
    chosen = settle(engines, minimum_copies=3)
    case.assertEqual(['b1', 'c1'], list_chosen(chosen))


def test_loading_engine_stays_the_choice(case):
    """Each engine in turn begins to load a model that needs one copy.

    A load shows in reports only when it is done; until then the choice must
    not move on.
    """
    engines = make_engines(a1=(), a2=(), b1=())
    first = settle(engines, minimum_copies=1)
    case.assertEqual(1, len(list_chosen(first)))
    case.assertEqual(first, settle(engines[::-1], minimum_copies=1))


def test_short_absence_of_a_copy_loads_nothing(case):
    """Weights are loaded elsewhere each time that an engine restarts."""
    planner = models.CopyPlanner()
    wanted = {'m': configuration.ModelSettings(minimum_copies=1)}
    there = make_engines(a1={'m'}, b1=())
    away = make_engines(b1=())
    for now, engines in (
        (0.0, there),
        (1.0, away),
        (15.9, away),
        (16.0, there),
    ):
        chosen = planner.choose(engines, wanted, now)
        case.assertEqual([], list_chosen(chosen))
    planner.choose(away, wanted, 20.0)
    case.assertEqual([], list_chosen(planner.choose(away, wanted, 30.0)))
    case.assertEqual(['b1'], list_chosen(planner.choose(away, wanted, 35.0)))


def test_pinned_copies_come_at_once_and_count(case):
    engines = make_engines(a1=(), b1=())
    wanted = {'m': configuration.ModelSettings(pinned=('b1', 'gone'))}
    chosen = models.CopyPlanner().choose(engines, wanted, 0.0)
    case.assertEqual(['b1'], list_chosen(chosen))


def test_needless_copies_go_late_and_one_by_one(case):
    """A model is loaded nowhere after an engine came back.

    Others had loaded it meanwhile. Copies beyond the minimum go, the pinned
    and the best placed ones stay, and never all of the others at once.
    """
    engines = make_engines(a1={'m'}, a2={'m'}, b1={'m'}, c1={'m'})
    settings = configuration.ModelSettings(minimum_copies=2, pinned=('a2',))
    spare = models.list_spare_copies('m', settings, engines)
    case.assertEqual(2, len(spare))
    case.assertIn('a1', spare)
    planner = models.CopyPlanner()
    planner.choose(engines, {'m': settings}, 0.0)
    for rank in range(3):
        now = models.SPARE_PATIENCE + rank * models.SPARE_STAGGER - 1.0
        plans = planner.choose(engines, {'m': settings}, now)
        gone = sorted(name for name, plan in plans.items() if plan.spare)
        case.assertEqual(spare[:rank], gone)


def test_version_goes_on_only_behind_engines_that_have_it(case):
    loaded = {'e1': {'m': '2'}, 'e2': {'m': '1'}, 'e3': {'m': '1'}}
    case.assertTrue(models.may_roll('e2', 'm', '2', loaded))
    case.assertFalse(models.may_roll('e3', 'm', '2', loaded))
    silent = {'e1': None, 'e2': {'m': '1'}}
    case.assertFalse(models.may_roll('e2', 'm', '2', silent))
    case.assertTrue(models.may_roll('e2', 'm', '2', {'e1': {'n': '1'}}))


def test_loads_that_go_on_share_the_rate(case):
    size = int(models.LOAD_WINDOW * 1e9)
    case.assertTrue(models.fits_window(size, 1e9, 0))
    case.assertFalse(models.fits_window(size, 1e9, 1))


load_tests = fixtures.adapt(__name__)
