"""Tests of decoding bodies from whatever is sent."""

import hypothesis
from hypothesis import strategies

from vanillayoke.core import failures
from vanillayoke.entry import bodies
from vanillayoke.testing import fixtures

_GOOD = b'{"mode":"call","tool":"order","arguments":{"a":[1,"\\u017e"]},"x":1}'


@strategies.composite
def _damage(draw) -> bytes:
    """Replace a part of a body by other bytes."""
    begin = draw(strategies.integers(0, len(_GOOD)))
    end = draw(strategies.integers(begin, len(_GOOD)))
    return _GOOD[:begin] + draw(strategies.binary(max_size=8)) + _GOOD[end:]


def test_any_bytes_give_a_body_or_a_fault(case):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.binary() | _damage())
    def check(data):
        for shape in (bodies.OpenBody, bodies.CallBody, bodies.OperatorBody):
            result = bodies.decode(data, shape)
            if isinstance(result, bodies.BadField):
                kind = failures.Kind.BAD_REQUEST
                case.assertIs(kind, result.failure.kind)
                case.assertTrue(result.failure.reason)
            else:
                case.assertIsInstance(result, shape)

    check()


load_tests = fixtures.adapt(__name__)
