"""Single requests at the limits, to an instance without a crowd."""

from tests.crowds import clients
from tests.crowds import processes
from vanillayoke.testing import fixtures

LIMITS = processes.Limits(memory_mb=96)
# The limit is 16,384.
HEAD_BYTES = 15_500


async def _check_long_head(site, case, lines):
    await site.start(LIMITS)
    pairs = [
        tuple(line.split(b':', 1)) for line in lines.split(b'\r\n') if line
    ]
    # A line is sent with a space after the colon.
    size = sum(len(name) + len(value) + 4 for name, value in pairs)
    count = (HEAD_BYTES - 300) // size
    case.assertEqual(200, await site.call('/look/x', pairs * count))
    site.check(case)


@fixtures.on_real_loop
async def test_long_head_of_short_lines_is_served(site, case):
    """A bound on lines would refuse a request of legal size."""
    await _check_long_head(site, case, clients.SHORT_LINE)


@fixtures.on_real_loop
async def test_long_head_of_odd_lines_is_served(site, case):
    """A bound on odd lines would refuse a request of legal size."""
    await _check_long_head(site, case, clients.ODD_LINES)


@fixtures.on_real_loop
async def test_large_body_is_served(site, case):
    """A bound on bodies would refuse a request of legal size."""
    await site.start(LIMITS)
    body = b'x' * (clients.BODY_BYTES - 1000)
    case.assertEqual(200, await site.call('/order/x', body=body))
    site.check(case)


load_tests = fixtures.adapt(__name__, [processes])
