"""Tests of keeping turns in rows."""

import hypothesis
from hypothesis import strategies

from vanillayoke.programs import transcripts
from vanillayoke.testing import fixtures

ROW_BYTES = 65536


def _keep(turn, base, before, added):
    return dict(
        transcripts.make_rows(turn, base, before, added, ROW_BYTES, 7.0)
    )


def test_chain_is_rebuilt_byte_for_byte(case):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=40)
    @hypothesis.given(
        strategies.lists(
            strategies.integers(0, 120_000), min_size=1, max_size=6
        )
    )
    def check(sizes):
        rows = {}
        text = b''
        base = ''
        for number, size in enumerate(sizes):
            added = bytes([number]) * size
            rows |= _keep(f't{number}', base, text, added)
            text += added
            base = f't{number}'
        found = []
        wanted = base
        while wanted:
            stored = transcripts.decode_rows(wanted, rows)
            found.append(stored.text)
            wanted = stored.base
        case.assertEqual(text, b''.join(reversed(found)))

    check()


def test_rows_fit_as_they_travel(case):
    rows = _keep('t', '', b'', b'x' * 500_000)
    for value in rows.values():
        case.assertLessEqual(len(value) * 4 / 3, ROW_BYTES)


def test_rows_of_a_turn_lie_between_its_key_and_the_end(case):
    rows = _keep('t', '', b'', b'x' * 500_000)
    for key in rows:
        case.assertLessEqual('t', key)
        case.assertLess(key, transcripts.get_range_end('t'))


def test_missing_or_broken_row_is_no_turn(case):
    case.assertIsNone(transcripts.decode_rows('t', {}))
    rows = _keep('t', '', b'', b'x' * 500_000)
    del rows[transcripts.make_row_key('t', 1)]
    with case.assertRaises(transcripts.CorruptTurnError):
        transcripts.decode_rows('t', rows)
    with case.assertRaises(transcripts.CorruptTurnError):
        transcripts.decode_rows('t', {'t': b'\xc1noise'})


load_tests = fixtures.adapt(__name__)
