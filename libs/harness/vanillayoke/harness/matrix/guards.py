"""Guards of the system, each with a cell that shows what it is for.

A check that stays green with its guard switched off checks nothing. Each
guard here is switched off by a patch; its cell must then be broken.
"""

import contextlib
import typing
import unittest.mock

from vanillayoke.core import failures
from vanillayoke.harness.matrix import cells
from vanillayoke.harness.matrix import faults
from vanillayoke.harness.matrix import steps
from vanillayoke.node import attempts
from vanillayoke.node import caches
from vanillayoke.node import feeds
from vanillayoke.node import results
from vanillayoke.node import runs
from vanillayoke.node import services

Off = typing.Callable[[], contextlib.AbstractContextManager]


class Guard(typing.NamedTuple):
    """A guard, how it is switched off, and a cell that needs it."""

    name: str
    off: Off
    step: str
    fault: str


def list_guards() -> tuple[Guard, ...]:
    """Return all guards that have a cell."""
    return (
        Guard(
            'an order is sent only behind its durable intent',
            _skip_durable_intent,
            'dispatched',
            'process dies',
        ),
        Guard(
            "a lost owner's attempt is settled and not proven unsent",
            _trust_lost_attempts,
            'intent written',
            'process dies',
        ),
        Guard(
            'an answer is told only when it is durable',
            _skip_commit,
            'mid-stream',
            faults.DEATH_IN_OUTAGE.name,
        ),
        Guard(
            "engines' own sessions are compared with what programs hold",
            _skip_reconciling,
            steps.JUST_SENT.name,
            'process dies',
        ),
        Guard(
            'a leaving target is marked',
            _ignore_leaving,
            'first token',
            'target leaves',
        ),
        Guard(
            'a release is repeated until it is confirmed',
            _release_once,
            'order issued',
            faults.REFUSED_ORDERS.name,
        ),
        Guard(
            'only a proven refusal is sent again',
            _repeat_unknown,
            'accepted',
            'target dies',
        ),
    )


def run_guard(guard: Guard, is_on: bool) -> cells.Result:
    """Run a guard's cell with the guard on or off."""
    rows = {row.name: row for row in steps.list_steps()}
    rows[steps.JUST_SENT.name] = steps.JUST_SENT
    columns = {column.name: column for column in faults.list_faults()}
    for column in (faults.REFUSED_ORDERS, faults.DEATH_IN_OUTAGE):
        columns[column.name] = column
    switch = contextlib.nullcontext() if is_on else guard.off()
    with switch:
        return cells.run_cell(rows[guard.step], [columns[guard.fault]])


def _patch(owner: type, name: str, replacement: typing.Any) -> typing.Any:
    return unittest.mock.patch.object(owner, name, replacement)


def _skip_durable_intent() -> contextlib.AbstractContextManager:
    async def skip(self, attempt):
        return None

    return _patch(services.ServiceCalls, '_make_intent_durable', skip)


def _trust_lost_attempts() -> contextlib.AbstractContextManager:
    begin = attempts.CallSettler.begin

    def trust(self, program, call):
        made = begin(self, program, call)
        made.proven_not_run = True
        return made

    stack = contextlib.ExitStack()
    stack.enter_context(_patch(attempts.CallSettler, 'begin', trust))
    stack.enter_context(_skip_settling())
    return stack


def _skip_settling() -> contextlib.AbstractContextManager:
    async def skip(self, program):
        return None

    return _patch(runs.Runner, '_settle_taken_over', skip)


def _skip_commit() -> contextlib.AbstractContextManager:
    async def skip(self, run):
        first = run.program.find_call(run.first)
        return results.make_final(run.program, first)

    return _patch(runs.Runner, '_commit', skip)


def _skip_reconciling() -> contextlib.AbstractContextManager:
    return _patch(
        caches.CacheReleaser, 'reconcile', lambda self, target, session: None
    )


def _ignore_leaving() -> contextlib.AbstractContextManager:
    note = feeds.TargetFeeds._note_report

    def ignore(self, name, feed, report):
        note(self, name, feed, report._replace(leaving=False))

    return _patch(feeds.TargetFeeds, '_note_report', ignore)


def _release_once() -> contextlib.AbstractContextManager:
    async def once(self, target, program):
        engine = self._adapters.get_engine(target)
        order = caches.ports.Order(caches.RELEASE, program, '', 0, 0)
        await engine.give_order(order)
        self._confirm(target, program)

    stack = contextlib.ExitStack()
    stack.enter_context(_patch(caches.CacheReleaser, '_release', once))
    stack.enter_context(_skip_reconciling())
    return stack


def _repeat_unknown() -> contextlib.AbstractContextManager:
    async def repeat(self, attempt, failure, target):
        attempt.proven_not_run = True
        refused = failures.Failure(failures.Kind.TARGET_REFUSED, '')
        return await self._settler.wait_before_retry(attempt, refused, target)

    return _patch(services.ServiceCalls, '_may_repeat', repeat)
