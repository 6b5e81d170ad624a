"""Gives orders to the targets whose shards this instance owns."""

import asyncio
import dataclasses
import random
import typing

from vanillayoke.cluster import orders
from vanillayoke.cluster import rows
from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.node import feeds
from vanillayoke.node import orders_survey
from vanillayoke.node import parts
from vanillayoke.platform import ports as platform_ports
from vanillayoke.scheduling import models as model_plans
from vanillayoke.settings import configuration as settings_configuration
from vanillayoke.settings import process
from vanillayoke.targets import ports

INTERVAL = 1.0
_SPREAD = 0.2
_PLAN_INTERVAL = 5.0
_ENGINE = 'engine'
_CHECKS = 'checks'
_NO_PLAN = model_plans.CopyPlan()
# After these nothing of an order is on its way any more.
_DEFINITE = frozenset(
    (
        failures.Kind.TARGET_REFUSED,
        failures.Kind.TARGET_FAILED,
        failures.Kind.CONFLICT,
        failures.Kind.UNAUTHENTICATED,
    )
)
_TIMED_OUT = failures.Failure(
    failures.Kind.OUTCOME_UNKNOWN, 'no reply to the order in time'
)

Spend = typing.Callable[[int], None]


@dataclasses.dataclass(slots=True)
class _Duty:
    """A target that this instance gives orders to."""

    book: orders.OrderBook
    task: asyncio.Task | None = None
    given: list[tuple[int, orders.Step]] = dataclasses.field(
        default_factory=list
    )


class OrderGiver:
    """Brings targets to their desired state, and back to it for ever.

    Each target has one giver: the owner of its shard. What the target says
    of itself is compared with its desired state; the reply to an order only
    tells when it may be repeated.
    """

    def __init__(
        self,
        lease: process.LeaseSettings,
        table: platform_ports.TableService,
        survey: orders_survey.Survey,
        shared: parts.Parts,
        reports: feeds.TargetFeeds,
        source: random.Random,
        spend: Spend,
    ) -> None:
        self._lease = lease
        self._table = table
        self._survey = survey
        self._parts = shared
        self._feeds = reports
        self._source = source
        self._spend = spend
        self._planner = model_plans.CopyPlanner()
        self._plans: dict[str, model_plans.CopyPlan] = {}
        self._plan_at = float('-inf')
        self._postponed: dict[str, frozenset[str]] = {}
        self._duties: dict[str, _Duty] = {}

    @classmethod
    def from_config(
        cls,
        settings: process.ProcessSettings,
        platform: platform_ports.Platform,
        shared: parts.Parts,
        reports: feeds.TargetFeeds,
        source: random.Random,
        spend: Spend,
    ) -> 'OrderGiver':
        """Build a giver; ``spend`` counts its writes to the table."""
        survey = orders_survey.Survey(
            shared.adapters, platform.weights, shared.clock
        )
        return cls(
            settings.lease,
            platform.table,
            survey,
            shared,
            reports,
            source,
            spend,
        )

    def start(self) -> None:
        """Look after the targets until the parts' tasks are cancelled."""
        self._parts.start_task(self._run())

    async def _run(self) -> None:
        while True:
            self._start_passes()
            spread = 1 + self._source.uniform(-_SPREAD, _SPREAD)
            await self._parts.clock.sleep(INTERVAL * spread)

    def _start_passes(self) -> None:
        """Start a pass for each own target whose last one has ended."""
        engines = self._list_engines()
        self._plan(engines)
        for target, settings in engines.items():
            epoch = self._find_epoch(target)
            if epoch is None:
                continue
            duty = self._duties.get(target)
            if duty is not None and duty.task and not duty.task.done():
                continue
            if duty is None or duty.book.epoch != epoch:
                duty = self._take_duty(target, epoch, settings)
            duty.task = self._parts.start_task(self._pass(target, duty))

    def _list_engines(
        self,
    ) -> dict[str, settings_configuration.TargetSettings]:
        targets = self._parts.configuration.current.targets
        return {
            name: settings
            for name, settings in targets.items()
            if settings.kind == _ENGINE
        }

    def _take_duty(
        self,
        target: str,
        epoch: int,
        settings: settings_configuration.TargetSettings,
    ) -> _Duty:
        checks_epoch = settings.fencing == _CHECKS
        book = orders.OrderBook.from_config(self._lease, epoch, checks_epoch)
        duty = _Duty(book)
        self._duties[target] = duty
        return duty

    def _find_epoch(self, target: str) -> int | None:
        return self._parts.ownership.epoch_of(ids.find_shard(target))

    def _may_give(self, target: str, book: orders.OrderBook) -> bool:
        """Tell whether this instance is the target's giver right now.

        It may have been paused in any await: then it learns here that its
        lease ran out, and keeps still.
        """
        return self._find_epoch(target) == book.epoch

    def _plan(
        self,
        engines: typing.Mapping[str, settings_configuration.TargetSettings],
    ) -> None:
        now = self._parts.clock.now()
        if now < self._plan_at:
            return
        self._plan_at = now + _PLAN_INTERVAL
        copies = []
        for name, settings in engines.items():
            report = self._feeds.find_report(name)
            if report is None or report.leaving:
                continue
            if self._feeds.is_healthy(name):
                models = frozenset(report.models)
                copies.append(
                    model_plans.EngineCopies(name, settings.zone, models)
                )
        models = self._parts.configuration.current.models
        self._plans = self._planner.choose(copies, models, now)

    async def _pass(self, target: str, duty: _Duty) -> None:
        """Compare a target with its desired state once and act upon it."""
        book = duty.book
        engine = self._parts.adapters.get_engine(target)
        report = self._feeds.find_report(target)
        if engine is None or (report is not None and report.leaving):
            return
        if book.row is None and not await self._read_row(target, book):
            return
        state = await engine.read_state()
        if failures.is_failure(state):
            return
        reported = orders.Reported(state.loaded, state.loading, state.role)
        wish = await self._make_wish(target, book, reported)
        now = self._parts.clock.now()
        action = book.decide(wish, reported, now)
        if action is None or not self._may_give(target, book):
            return
        if not await self._write_row(target, book, action):
            return
        if action.steps:
            await self._give(target, engine, duty, action)
        elif not action.row.is_open:
            self._note_confirmed(target, duty)

    async def _read_row(self, target: str, book: orders.OrderBook) -> bool:
        found = await self._table.read(orders.name_order_row(target))
        if failures.is_failure(found):
            return False
        if found is None:
            book.note_read(None, 0)
        else:
            row = rows.decode_row(found.value, orders.OrderRow)
            book.note_read(row, found.version)
        return True

    async def _make_wish(
        self,
        target: str,
        book: orders.OrderBook,
        reported: orders.Reported,
    ) -> orders.Wish:
        published = self._parts.configuration.published
        engines = list(filter(self._feeds.is_healthy, self._list_engines()))
        known = {
            name: settings.version
            for name, settings in published.configuration.models.items()
        }
        accepted = book.row.desired.models if book.row else {}
        for name, version in known.items():
            present = reported.loaded.get(name, version)
            if version in (present, accepted.get(name)):
                continue
            if not await self._survey.may_roll(target, name, version, engines):
                known[name] = present
        plan = self._plans.get(target, _NO_PLAN)
        wish = orders.Wish(
            plan.needed, known, published.version, spare=plan.spare
        )
        loads = book.list_loads(wish, reported)
        if not loads:
            return wish
        postponed = await self._survey.list_postponed(target, loads, engines)
        self._note_postponed(target, book.epoch, postponed)
        return wish._replace(postponed=postponed)

    def _note_postponed(
        self, target: str, epoch: int, postponed: frozenset[str]
    ) -> None:
        """Log once, not at each pass, that loads wait for the store."""
        if postponed and self._postponed.get(target) != postponed:
            self._parts.logger.write(
                events.ORDER_REFUSED,
                target=target,
                kind='load',
                epoch=epoch,
                order=0,
                reason='the weight store cannot serve it in time',
            )
        self._postponed[target] = postponed

    async def _write_row(
        self, target: str, book: orders.OrderBook, action: orders.WriteRow
    ) -> bool:
        key = orders.name_order_row(target)
        value = rows.encode_row(action.row)
        self._spend(1)
        result = await self._table.transact(
            ids.make_id('order', self._source),
            [platform_ports.Put(key, value, action.expected)],
        )
        if not isinstance(result, platform_ports.Committed):
            # In doubt it may still take effect; then the next write
            # conflicts, and no order is given on the strength of this one.
            book.forget_row()
            return False
        now = self._parts.clock.now()
        book.note_written(action.row, result.versions[key], now)
        return True

    async def _give(
        self,
        target: str,
        engine: ports.Engine,
        duty: _Duty,
        action: orders.WriteRow,
    ) -> None:
        sent_at = self._parts.clock.now()
        replies = []
        for number, step in action.number_steps():
            if not self._may_give(target, duty.book):
                break
            order = ports.Order(
                step.kind,
                step.subject,
                step.version,
                duty.book.epoch,
                number,
            )
            sent_at = self._parts.clock.now()
            replies.append(await self._send(target, engine, order))
            duty.given.append((number, step))
        if not replies:
            return
        duty.book.note_given(
            sent_at,
            accepted=not any(replies),
            is_settled=all(
                reply is None or reply.kind in _DEFINITE for reply in replies
            ),
        )

    async def _send(
        self, target: str, engine: ports.Engine, order: ports.Order
    ) -> failures.Failure | None:
        fields = {
            'target': target,
            'kind': order.kind,
            'epoch': order.epoch,
            'order': order.number,
        }
        self._parts.logger.write(events.ORDER_GIVEN, **fields)
        try:
            async with asyncio.timeout(orders.ORDER_DEADLINE):
                failure = await engine.give_order(order)
        except TimeoutError:
            failure = _TIMED_OUT
        if failure is not None:
            self._parts.logger.write(
                events.ORDER_REFUSED, **fields, reason=failure.reason
            )
        return failure

    def _note_confirmed(self, target: str, duty: _Duty) -> None:
        for number, step in duty.given:
            self._parts.logger.write(
                events.ORDER_CONFIRMED,
                target=target,
                kind=step.kind,
                epoch=duty.book.epoch,
                order=number,
            )
        duty.given.clear()
