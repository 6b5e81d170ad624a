"""Tests of journal records on their way into the store."""

from vanillayoke.node import buffer
from vanillayoke.programs import records
from vanillayoke.testing import fixtures


def _hold(program: str) -> records.CacheHeld:
    return records.CacheHeld(program, 1, target='engine-1')


def test_decision_is_not_split_over_two_segments(case):
    """A sub-agent's call is replayed without its draw on the root's budget.

    The segment was full between the two records of one decision, and the
    instance died before the second segment was durable.
    """
    waiting = buffer.RecordBuffer()
    waiting.append([_hold('prg-1'), _hold('prg-2')])
    waiting.append([_hold('prg-3')])
    taken = waiting.take(most=1)
    case.assertEqual(['prg-1', 'prg-2'], [one.program for one in taken])
    waiting.drop(len(taken))
    case.assertEqual(['prg-3'], [one.program for one in waiting.take(1)])


load_tests = fixtures.adapt(__name__)
