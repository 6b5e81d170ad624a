"""Tests of lists of header fields."""

import sys

from vanillayoke.testing import fixtures
from vanillayoke.transport import headers


def _make(count):
    fields = headers.FieldList()
    for number in range(count):
        fields.append(b'X-%d' % number, b'a: b,%d' % number)
    return fields


def test_fields_keep_their_order_and_values(case):
    """Packed fields must not differ from those that were received."""
    for count in (0, 1, 64, 65, 66, 130, 1000):
        expected = [
            (b'X-%d' % number, b'a: b,%d' % number) for number in range(count)
        ]
        fields = _make(count)
        case.assertEqual(expected, list(fields))
        case.assertEqual(expected, list(fields))
        case.assertEqual(count, len(fields))


def test_empty_values_and_repeated_names_are_kept(case):
    """A field without a value was lost, or merged with another."""
    fields = headers.FieldList()
    expected = [(b'ab', b''), (b'ab', b',\t,'), (b'AB', b':')] * 40
    for name, value in expected:
        fields.append(name, value)
    case.assertEqual(expected, list(fields))


def test_many_fields_take_little_more_than_their_bytes(case):
    """A field of four bytes was held as three objects of 150 bytes."""
    fields = headers.FieldList()
    for _ in range(2000):
        fields.append(b'ab', b'c')
    held = sys.getsizeof(fields._packed) + sum(
        sys.getsizeof(field) + sum(map(sys.getsizeof, field))
        for field in fields._unpacked
    )
    case.assertLess(held, 2 * fields.size + 20_000)


load_tests = fixtures.adapt(__name__)
