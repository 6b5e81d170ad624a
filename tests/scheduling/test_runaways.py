"""Tests of how looping programs are found."""

from vanillayoke.core import failures
from vanillayoke.scheduling import runaways
from vanillayoke.testing import fixtures


def _count_steps(fingerprints) -> int | None:
    detector = runaways.RunawayDetector(8)
    for number, fingerprint in enumerate(fingerprints, 1):
        failure = detector.observe('prg-1', fingerprint)
        if failure is not None:
            return number if failures.is_failure(failure) else None
    return None


def test_repeated_step_is_stopped(case):
    case.assertEqual(9, _count_steps([7] * 50))


def test_circle_of_steps_is_stopped(case):
    case.assertEqual(11, _count_steps([1, 2, 3] * 50))


def test_program_with_changing_steps_goes_on(case):
    steps = [step for n in range(200) for step in (5, 1000 + n)]
    case.assertIsNone(_count_steps(steps))


load_tests = fixtures.adapt(__name__)
