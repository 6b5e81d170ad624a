"""Function tests with shared fixtures, run by unittest.

A test module ends with ``load_tests = fixtures.adapt(__name__)``. Each
function named ``test_*`` becomes a test; its parameters name fixtures, which
are functions marked by ``@fixtures.fixture`` in the module or given to
``adapt``. A generator fixture cleans up behind its ``yield``. A coroutine
function runs on a loop in virtual time, which its fixtures share; one marked
by ``@fixtures.on_real_loop`` runs on an ordinary loop and may use sockets.
"""

import asyncio
import contextlib
import inspect
import sys
import typing
import unittest

from vanillayoke.testing import loops

REAL_LOOP_TIMEOUT = 60.0
_MARK = '_is_vanillayoke_fixture'
_REAL_MARK = '_needs_real_loop'


def fixture(function: typing.Callable) -> typing.Callable:
    """Mark a function as a fixture under its own name."""
    setattr(function, _MARK, True)
    return function


def on_real_loop(function: typing.Callable) -> typing.Callable:
    """Mark a test as one that needs real sockets and thus a real clock.

    It fails after ``REAL_LOOP_TIMEOUT`` seconds, so that a hang cannot
    block the run.
    """
    setattr(function, _REAL_MARK, True)
    return function


def adapt(
    module_name: str, shared: typing.Sequence[typing.Any] = ()
) -> typing.Callable:
    """Return a ``load_tests`` for a module of test functions.

    ``shared`` lists further modules whose fixtures the tests may use.
    """

    def load_tests(loader, tests, pattern):
        module = sys.modules[module_name]
        known = _collect_fixtures([*shared, module])
        suite = unittest.TestSuite([tests])
        for name, value in list(vars(module).items()):
            if name.startswith('test_') and inspect.isfunction(value):
                suite.addTest(_FunctionTest(value, known))
        return suite

    return load_tests


def _collect_fixtures(modules: typing.Sequence[typing.Any]) -> dict:
    return {
        name: value
        for module in modules
        for name, value in vars(module).items()
        if getattr(value, _MARK, False)
    }


async def _limit(test: typing.Coroutine, seconds: float | None) -> None:
    # The test runs in the loop's first task, so that all others it sees are
    # those it started.
    async with asyncio.timeout(seconds):
        await test


class _FunctionTest(unittest.TestCase):
    """One test function as a unittest case."""

    def __init__(self, function: typing.Callable, known: dict) -> None:
        super().__init__('run_function')
        self._function = function
        self._known = known

    def id(self) -> str:
        return f'{self._function.__module__}.{self._function.__name__}'

    def __str__(self) -> str:
        return self.id()

    def shortDescription(self) -> str | None:
        return None

    def run_function(self) -> None:
        if getattr(self._function, _REAL_MARK, False):
            self._run_in_real_time()
        else:
            self._run_in_virtual_time()

    def _run_in_real_time(self) -> None:
        # Unlike asyncio.run, the runner lets fixtures use the loop before
        # and after the test; it cancels what is left when it closes.
        with asyncio.Runner() as runner:
            loop = runner.get_loop()
            asyncio.set_event_loop(loop)
            try:
                with contextlib.ExitStack() as stack:
                    self._call(stack, loop, REAL_LOOP_TIMEOUT)
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
        made: dict[str, typing.Any] = {'loop': loop, 'case': self}
        arguments = self._make_arguments(self._function, stack, made)
        result = self._function(**arguments)
        if inspect.iscoroutine(result):
            loop.run_until_complete(_limit(result, timeout))

    def _make_arguments(
        self,
        function: typing.Callable,
        stack: contextlib.ExitStack,
        made: dict[str, typing.Any],
    ) -> dict[str, typing.Any]:
        names = inspect.signature(function).parameters
        return {name: self._make(name, stack, made) for name in names}

    def _make(
        self,
        name: str,
        stack: contextlib.ExitStack,
        made: dict[str, typing.Any],
    ) -> typing.Any:
        if name in made:
            return made[name]
        if name not in self._known:
            raise LookupError(f'{self.id()} uses an unknown fixture {name}')
        function = self._known[name]
        arguments = self._make_arguments(function, stack, made)
        if inspect.isgeneratorfunction(function):
            generator = function(**arguments)
            value = next(generator)
            stack.callback(next, generator, None)
        else:
            value = function(**arguments)
        made[name] = value
        return value
