"""Tests of the fault matrix's checks: a guard switched off must show."""

from vanillayoke.harness.matrix import guards
from vanillayoke.testing import fixtures


def test_guard_switched_off_turns_its_cell_red(case):
    """A check that cannot fail would tell operators that all is well."""
    for guard in guards.list_guards():
        with case.subTest(guard.name):
            on = guards.run_guard(guard, is_on=True)
            case.assertTrue(on.struck, on)
            case.assertEqual((), on.broken)
            off = guards.run_guard(guard, is_on=False)
            case.assertNotEqual((), off.broken)


load_tests = fixtures.adapt(__name__)
