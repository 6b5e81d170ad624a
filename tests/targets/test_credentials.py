"""Tests of order signatures."""

from tests.targets import samples
from vanillayoke.core import failures
from vanillayoke.targets import credentials
from vanillayoke.testing import fixtures

KEY = credentials.SigningKey('k', b'hidden')
ORDER = samples.make_order()
NOW = 1_700_000_000.0


def verify(order=ORDER, target='e1', keys=(KEY,), now=NOW, digest=None):
    signature = credentials.sign_order(ORDER, 'e1', KEY, NOW)
    if digest is not None:
        signature = signature._replace(digest=digest)
    headers = credentials.write_headers(signature)
    read = credentials.read_headers(headers)
    return credentials.verify_order(order, target, read, keys, now)


def test_signature_is_accepted(case):
    case.assertIsNone(verify())
    other = credentials.SigningKey('new', b'other')
    case.assertIsNone(verify(keys=(other, KEY)))
    case.assertIsNone(verify(now=NOW + credentials.CLOCK_TOLERANCE))


def test_each_field_is_signed(case):
    """A release of one session is turned into the release of another.

    Someone on the way changes one field of a signed order, or sends an old
    one again, or to another target.
    """
    changes = {
        'kind': 'unload',
        'subject': 's2',
        'version': '2',
        'epoch': 6,
        'number': 2,
    }
    refusals = [verify(ORDER._replace(**{k: v})) for k, v in changes.items()]
    refusals += [
        verify(target='e2'),
        verify(keys=()),
        verify(keys=(credentials.SigningKey('k', b'other'),)),
        verify(now=NOW + credentials.CLOCK_TOLERANCE + 0.1),
        verify(now=NOW - credentials.CLOCK_TOLERANCE - 0.1),
        verify(digest='ž'),
        credentials.read_headers({}),
        credentials.read_headers({'X-Order-Time': '²'}),
    ]
    for refusal in refusals:
        case.assertEqual(failures.Kind.UNAUTHENTICATED, refusal.kind)


def test_secret_is_not_shown(case):
    case.assertNotIn('hidden', f'{KEY} {KEY!r}')


load_tests = fixtures.adapt(__name__)
