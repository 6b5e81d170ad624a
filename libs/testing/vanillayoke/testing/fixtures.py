"""Function tests with shared fixtures, run by unittest.

A test module ends with ``load_tests = fixtures.adapt(__name__)``. Each
function named ``test_*`` becomes a test; its parameters name fixtures, which
are functions marked by ``@fixtures.fixture`` in the module or given to
``adapt``. A generator fixture cleans up after its ``yield``. A coroutine
function and its fixtures share a loop in virtual time; a test marked
by ``@fixtures.on_real_loop`` runs on an ordinary loop and may use sockets.
"""

import asyncio
import contextlib
import inspect
import sys
import typing
import unittest

from vanillayoke.testing import loops

REAL_LOOP_TIMEOUT_SECONDS = 60.0
_FIXTURE_ATTRIBUTE = '_is_vanillayoke_fixture'
_REAL_LOOP_ATTRIBUTE = '_needs_real_loop'


def fixture(function: typing.Callable) -> typing.Callable:
    """Mark a function as a fixture; its name is the fixture's name."""
    setattr(function, _FIXTURE_ATTRIBUTE, True)
    return function


def on_real_loop(function: typing.Callable) -> typing.Callable:
    """Mark a test that needs real sockets and thus a real clock.

    It fails after ``REAL_LOOP_TIMEOUT_SECONDS`` instead of blocking the
    test run.
    """
    setattr(function, _REAL_LOOP_ATTRIBUTE, True)
    return function


def adapt(
    module_name: str, shared: typing.Sequence[typing.Any] = ()
) -> typing.Callable:
    """Return a ``load_tests`` for a module of test functions.

    ``shared`` lists other modules whose fixtures the tests may use.
    """

    def load_tests(loader, tests, pattern):
        module = sys.modules[module_name]
        available_fixtures = _collect_fixtures([*shared, module])
        suite = unittest.TestSuite([tests])
        for name, value in list(vars(module).items()):
            if name.startswith('test_') and inspect.isfunction(value):
                suite.addTest(_FunctionTest(value, available_fixtures))
        return suite

    return load_tests


def _collect_fixtures(modules: typing.Sequence[typing.Any]) -> dict:
    return {
        name: value
        for module in modules
        for name, value in vars(module).items()
        if getattr(value, _FIXTURE_ATTRIBUTE, False)
    }


async def _run_with_timeout(
    test: typing.Coroutine, seconds: float | None
) -> None:
    # The test runs in the main task, so that all other tasks are those
    # that it started.
    async with asyncio.timeout(seconds):
        await test


class _FunctionTest(unittest.TestCase):
    """One test function as a unittest case."""

    def __init__(
        self, function: typing.Callable, available_fixtures: dict
    ) -> None:
        super().__init__('run_function')
        self._function = function
        self._fixtures = available_fixtures

    def id(self) -> str:
        return f'{self._function.__module__}.{self._function.__name__}'

    def __str__(self) -> str:
        return self.id()

    def shortDescription(self) -> str | None:
        return None

    def run_function(self) -> None:
        if getattr(self._function, _REAL_LOOP_ATTRIBUTE, False):
            self._run_in_real_time()
        else:
            self._run_in_virtual_time()

    def _run_in_real_time(self) -> None:
        # Unlike asyncio.run, a runner lets fixtures use the loop before and
        # after the test. Closing it cancels the remaining tasks.
        with asyncio.Runner() as runner:
            loop = runner.get_loop()
            asyncio.set_event_loop(loop)
            try:
                with contextlib.ExitStack() as stack:
                    self._call(stack, loop, REAL_LOOP_TIMEOUT_SECONDS)
            finally:
                asyncio.set_event_loop(None)

    def _run_in_virtual_time(self) -> None:
        loop = loops.VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            with contextlib.ExitStack() as stack:
                stack.callback(loop.finish)
                self._call(stack, loop, None)
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    def _call(
        self,
        stack: contextlib.ExitStack,
        loop: asyncio.AbstractEventLoop,
        timeout: float | None,
    ) -> None:
        values: dict[str, typing.Any] = {'loop': loop, 'case': self}
        arguments = self._make_arguments(self._function, stack, values)
        result = self._function(**arguments)
        if inspect.iscoroutine(result):
            loop.run_until_complete(_run_with_timeout(result, timeout))

    def _make_arguments(
        self,
        function: typing.Callable,
        stack: contextlib.ExitStack,
        values: dict[str, typing.Any],
    ) -> dict[str, typing.Any]:
        names = inspect.signature(function).parameters
        return {name: self._make(name, stack, values) for name in names}

    def _make(
        self,
        name: str,
        stack: contextlib.ExitStack,
        values: dict[str, typing.Any],
    ) -> typing.Any:
        if name in values:
            return values[name]
        if name not in self._fixtures:
            raise LookupError(f'{self.id()} uses an unknown fixture {name}')
        function = self._fixtures[name]
        arguments = self._make_arguments(function, stack, values)
        if inspect.isgeneratorfunction(function):
            generator = function(**arguments)
            value = next(generator)
            stack.callback(next, generator, None)
        else:
            value = function(**arguments)
        values[name] = value
        return value
