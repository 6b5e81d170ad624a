"""Tests of the function-test adapter and the virtual-time loop."""

import asyncio
import sys
import types
import unittest
from unittest import mock

from vanillayoke.testing import fixtures

_CLOSED = []


@fixtures.fixture
def numbers():
    values = [1, 2]
    yield values
    _CLOSED.append(values)


@fixtures.fixture
def total(numbers):
    return sum(numbers)


def test_fixture_depends_on_fixture(case, numbers, total):
    case.assertEqual([1, 2], numbers)
    case.assertEqual(3, total)


async def test_sleep_takes_virtual_time(case, loop):
    begin = loop.time()
    await asyncio.sleep(3600)
    case.assertAlmostEqual(3600, loop.time() - begin)


@fixtures.on_real_loop
async def test_real_loop_has_sockets(case):
    async def greet(reader, writer):
        writer.write(b'hello')
        writer.close()
        await writer.wait_closed()

    server = await asyncio.start_server(greet, '127.0.0.1', 0)
    async with server:
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        case.assertEqual(b'hello', await reader.read())
        writer.close()
        await writer.wait_closed()


def _run_module(**functions) -> unittest.TestResult:
    module = types.ModuleType('vanillayoke_sample')
    vars(module).update(functions)
    sys.modules[module.__name__] = module
    try:
        load = fixtures.adapt(module.__name__)
        result = unittest.TestResult()
        load(None, unittest.TestSuite(), None).run(result)
        return result
    finally:
        del sys.modules[module.__name__]


def test_failing_function_is_reported(case):
    def test_fails(case):
        case.fail('expected')

    result = _run_module(test_fails=test_fails)
    case.assertEqual(1, len(result.failures))


def test_unknown_fixture_is_reported(case):
    def test_asks(nothing_like_it):
        pass

    result = _run_module(test_asks=test_asks)
    case.assertEqual(1, len(result.errors))


def test_fixture_is_closed_after_a_failure(case):
    closed_count = len(_CLOSED)

    def test_fails(case, numbers):
        case.fail('expected')

    _run_module(test_fails=test_fails, numbers=numbers)
    case.assertEqual(closed_count + 1, len(_CLOSED))


def test_hanging_test_on_the_real_loop_fails(case):
    @fixtures.on_real_loop
    async def test_hangs():
        await asyncio.Event().wait()

    with mock.patch.object(fixtures, 'REAL_LOOP_TIMEOUT_SECONDS', 0.01):
        result = _run_module(test_hangs=test_hangs)
    case.assertEqual(1, len(result.errors))


load_tests = fixtures.adapt(__name__)
