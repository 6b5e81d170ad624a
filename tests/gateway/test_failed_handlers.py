"""Tests of requests whose handler fails with an unexpected error."""

from tests.gateway import site_fixtures
from vanillayoke.testing import fixtures


async def test_failed_handler_answers_its_caller(case, site):
    """A request whose handler failed got a closed connection, no answer."""
    await site.start()
    instance = site.instances['i1']

    def fail(*arguments):
        raise RuntimeError('unexpected')

    instance._occupancy.record_probe = fail
    response = await site.call('i1', 'order', request='a')
    case.assertEqual(503, response.status)
    case.assertIn(b'retry-after', response.headers)
    case.assertEqual([], site.list_runs('a'))
    [line] = site.list_events('i1', 'handler_failed')
    case.assertEqual('a', line['request'])


async def test_failed_handler_promises_nothing_about_a_sent_request(
    case, site
):
    """A request that was sent must not be answered as not run."""
    await site.start()
    instance = site.instances['i1']

    def fail(*arguments):
        raise RuntimeError('unexpected')

    instance._occupancy.record_report = fail
    response = await site.call('i1', 'order', request='a')
    case.assertEqual(500, response.status)
    case.assertEqual(1, len(site.list_runs('a')))


load_tests = fixtures.adapt(__name__, [site_fixtures])
