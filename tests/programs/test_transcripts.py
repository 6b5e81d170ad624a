"""Tests of storing turns in rows."""

import hypothesis
from hypothesis import strategies

from vanillayoke.programs import transcripts
from vanillayoke.testing import fixtures

ROW_BYTES = 65536


def _encode(turn, base, text, new_text, expires_at=1000.0, time=7.0):
    return transcripts.encode_turn(
        turn,
        base,
        transcripts.History(text, expires_at),
        new_text,
        ROW_BYTES,
        time,
        lifetime=80.0,
        needed=30.0,
    )


def _make_rows(turn, base, history, new_text):
    return dict(_encode(turn, base, history, new_text).rows)


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
            new_text = bytes([number]) * size
            rows |= _make_rows(f't{number}', base, text, new_text)
            text += new_text
            base = f't{number}'
        texts = []
        turn = base
        while turn:
            stored = transcripts.decode_rows(turn, rows)
            texts.append(stored.text)
            turn = stored.base
        case.assertEqual(text, b''.join(reversed(texts)))

    check()


def test_long_conversation_is_stored_whole_before_its_rows_expire(case):
    """Rows of the first turns were removed while later ones needed them."""
    text, new_text = b'x' * 60_000, b'y'
    relying = _encode('t2', 't1', text, new_text, expires_at=37.0)
    stored = transcripts.decode_rows('t2', dict(relying.rows))
    case.assertEqual(('t1', new_text), (stored.base, stored.text))
    case.assertEqual(37.0, relying.expires_at)
    whole = _encode('t2', 't1', text, new_text, expires_at=36.9)
    stored = transcripts.decode_rows('t2', dict(whole.rows))
    case.assertEqual(('', text + new_text), (stored.base, stored.text))
    case.assertEqual(87.0, whole.expires_at)


def test_row_lasts_for_the_longer_of_two_lifetimes(case):
    """A configuration with a shorter retention removed promised turns."""
    [(_, value)] = _encode('t', '', b'', b'x').rows
    case.assertEqual(87.0, transcripts.decode_expiry(value, 60.0))
    case.assertEqual(127.0, transcripts.decode_expiry(value, 120.0))
    case.assertIsNone(transcripts.decode_expiry(b'\xc1', 60.0))


def test_rows_fit_the_limit_after_base64(case):
    rows = _make_rows('t', '', b'', b'x' * 500_000)
    for value in rows.values():
        case.assertLessEqual(len(value) * 4 / 3, ROW_BYTES)


def test_rows_of_a_turn_lie_in_its_key_range(case):
    rows = _make_rows('t', '', b'', b'x' * 500_000)
    for key in rows:
        case.assertLessEqual('t', key)
        case.assertLess(key, transcripts.get_range_end('t'))


def test_missing_and_corrupt_rows_are_detected(case):
    case.assertIsNone(transcripts.decode_rows('t', {}))
    rows = _make_rows('t', '', b'', b'x' * 500_000)
    del rows[transcripts.make_row_key('t', 1)]
    with case.assertRaises(transcripts.CorruptTurnError):
        transcripts.decode_rows('t', rows)
    with case.assertRaises(transcripts.CorruptTurnError):
        transcripts.decode_rows('t', {'t': b'\xc1noise'})


load_tests = fixtures.adapt(__name__)
