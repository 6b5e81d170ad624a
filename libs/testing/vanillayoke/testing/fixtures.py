"""Function tests with shared fixtures, run by unittest.

A test module ends with ``load_tests = fixtures.adapt(__name__)``. Each
function named ``test_*`` becomes a test; its parameters name fixtures, which
are functions marked by ``@fixtures.fixture`` in the module or given to
``adapt``. A generator fixture cleans up behind its ``yield``. A coroutine
function runs on a loop in virtual time, which its fixtures share.
"""

import asyncio
import contextlib
import inspect
import sys
import typing
import unittest

from vanillayoke.testing import loops

_MARK = '_is_vanillayoke_fixture'


def fixture(function: typing.Callable) -> typing.Callable:
    """Mark a function as a fixture under its own name."""
    setattr(function, _MARK, True)
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
        loop = loops.VirtualLoop()
        asyncio.set_event_loop(loop)
        try:
            with contextlib.ExitStack() as stack:
                stack.callback(loop.finish)
                self._call(stack, loop)
        finally:
            asyncio.set_event_loop(None)
            loop.close()

    def _call(self, stack: contextlib.ExitStack, loop) -> None:
        made: dict[str, typing.Any] = {'loop': loop, 'case': self}
        arguments = self._make_arguments(self._function, stack, made)
        result = self._function(**arguments)
        if inspect.iscoroutine(result):
            loop.run_until_complete(result)

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
