"""Tests of what rows prove of a transaction in doubt."""

from vanillayoke.platform import evidence
from vanillayoke.platform import ports
from vanillayoke.testing import fixtures

_OWN = 'own'
_RIVAL = 'rival'


def _judge(expected, row, closed=False):
    reading = evidence.Reading(ports.Put('k', b'', expected), row)
    return evidence.judge(_OWN, [reading], closed)


def _row(version, write_id):
    return ports.Row('k', b'', version, write_id)


def test_own_row_is_committed(case):
    case.assertIs(evidence.Verdict.COMMITTED, _judge(3, _row(4, _OWN)))
    case.assertIs(evidence.Verdict.COMMITTED, _judge(0, _row(9, _OWN)))


def test_next_version_of_a_rival_is_lost(case):
    case.assertIs(evidence.Verdict.LOST, _judge(3, _row(4, _RIVAL)))


def test_unmoved_row_is_pending_until_a_repeat_was_refused(case):
    case.assertIs(evidence.Verdict.PENDING, _judge(3, _row(3, _RIVAL)))
    case.assertIs(evidence.Verdict.LOST, _judge(3, _row(3, _RIVAL), True))


def test_own_write_that_rivals_may_have_covered_is_unknown(case):
    case.assertIs(evidence.Verdict.UNKNOWN, _judge(3, _row(5, _RIVAL)))
    case.assertIs(evidence.Verdict.UNKNOWN, _judge(3, None, True))


def test_insertion_is_never_pending(case):
    """An inserted row was perhaps read and deleted before the read-back.

    A worker sees a task done twice: its insertion takes effect, the reply
    is lost, a rival takes the task off, and a repeat inserts it again.
    """
    case.assertIs(evidence.Verdict.UNKNOWN, _judge(0, None))
    case.assertIs(evidence.Verdict.UNKNOWN, _judge(None, _row(2, _RIVAL)))


def test_covered_rows_get_a_version_that_conflicts(case):
    """Taking a rival's version for one's own would overwrite its change."""
    writes = [ports.Put('a', b'', 3), ports.Put('b', b'', 7)]
    readings = [
        evidence.Reading(writes[0], ports.Row('a', b'', 4, _OWN)),
        evidence.Reading(writes[1], ports.Row('b', b'', 9, _RIVAL)),
    ]
    case.assertEqual(
        {'a': 4, 'b': 8}, evidence.find_versions(_OWN, writes, readings)
    )


load_tests = fixtures.adapt(__name__)
