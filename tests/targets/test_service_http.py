"""Tests of the service adapter against the HTTP stand-in."""

from aiohttp import web

from tests.targets import samples
from vanillayoke.core import failures
from vanillayoke.fakes import service_memory
from vanillayoke.targets import ports
from vanillayoke.targets import service_http
from vanillayoke.testing import fixtures

CALL = ports.ServiceRequest('k1', '/orders', '{"tiles": 4}', 5.0)
UNKNOWN = failures.Kind.OUTCOME_UNKNOWN


@fixtures.on_real_loop
async def test_answer_comes_back_whole(case, stage):
    adapter = await stage.start_service()
    answer = await adapter.call(CALL)
    case.assertEqual(stage.service.answers['k1'], answer.body)
    case.assertEqual(answer, await adapter.query('k1'))
    case.assertIsNone(await adapter.query('k2'))
    case.assertEqual('t1', (await adapter.report_load()).target)


@fixtures.on_real_loop
async def test_lost_reply_is_unknown_until_the_query_tells(case, stage):
    """A fitter's tiles would be ordered twice.

    The service carries the order out and its connection breaks before the
    reply; once more it breaks before the effect. Both look the same to the
    sender, and only the query tells them apart.
    """
    adapter = await stage.start_service()
    for key, fault in (('k1', 'die_after'), ('k2', 'die_before')):
        stage.service.set_faults(service_memory.ServiceFaults(call=fault))
        result = await adapter.call(CALL._replace(key=key))
        case.assertEqual(UNKNOWN, result.kind)
    case.assertEqual({'k1': 1}, stage.service.executions)
    case.assertIsInstance(await adapter.query('k1'), ports.ServiceAnswer)
    case.assertIsNone(await adapter.query('k2'))


@fixtures.on_real_loop
async def test_hanging_service_is_unknown_after_the_timeout(case, stage):
    adapter = await stage.start_service()
    stage.service.set_faults(service_memory.ServiceFaults(call='hang'))
    result = await adapter.call(CALL._replace(timeout=0.05))
    case.assertEqual(UNKNOWN, result.kind)


@fixtures.on_real_loop
async def test_leaving_service_refuses_without_running(case, stage):
    adapter = await stage.start_service()
    stage.service.set_faults(service_memory.ServiceFaults(leaving=True))
    result = await adapter.call(CALL)
    case.assertEqual(failures.Kind.TARGET_REFUSED, result.kind)
    case.assertEqual({}, stage.service.executions)


@fixtures.on_real_loop
async def test_redirect_is_not_followed(case, stage):
    """An order is carried out twice, by two services.

    A service takes an order and answers with a redirect, which a client
    library would follow by sending the order once more.
    """
    seen = []

    async def answer(request):
        seen.append(request.path)
        return web.Response(status=307, headers={'Location': '/again'})

    adapter = stage.connect_service(await stage.serve_handler(answer))
    result = await adapter.call(CALL)
    case.assertEqual(failures.Kind.TARGET_FAILED, result.kind)
    case.assertEqual(['/orders'], seen)


@fixtures.on_real_loop
async def test_bare_404_of_a_query_proves_nothing(case, stage):
    """An order is sent again although it was carried out.

    A gateway before the service knows no query path and answers 404, which
    reads like "this call never ran".
    """

    async def answer(request):
        return web.Response(status=404)

    address = await stage.serve_handler(answer)
    result = await stage.connect_service(address).query('k1')
    case.assertEqual(UNKNOWN, result.kind)
    without = stage.connect_service(address, query=False)
    case.assertEqual(UNKNOWN, (await without.query('k1')).kind)


@fixtures.on_real_loop
async def test_too_long_and_unreadable_answers_are_bounded(case, stage):
    bodies = [b'x' * (service_http.LARGEST_ANSWER + 1), b'\xff']
    left = iter(bodies)

    async def answer(request):
        return web.Response(body=next(left))

    adapter = stage.connect_service(await stage.serve_handler(answer))
    for _ in bodies:
        result = await adapter.call(CALL)
        case.assertEqual(failures.Kind.TARGET_FAILED, result.kind)


load_tests = fixtures.adapt(__name__, [samples])
