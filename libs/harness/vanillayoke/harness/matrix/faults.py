"""The columns of the matrix: what goes wrong, and when it is over."""

import asyncio
import typing

from vanillayoke.core import failures
from vanillayoke.fakes import engine_model
from vanillayoke.harness.matrix import world

LEASE_AND_MORE = 12.0
OUTAGE = 15.0
_SLOWNESS = 0.8
_SLOW_FOR = 10.0
_LOST_REPLIES = 4
_HANG_AFTER = 3
_PARTED_FOR = 20.0
_STALE = 4.0
_LATE = 1.5
_SOON = 2.0
_REFUSED_ORDERS = 2


class Fault(typing.NamedTuple):
    """A column; ``strike`` gets the instance at which the step was met."""

    name: str
    strike: typing.Callable[[world.World, str], None]


def list_faults() -> tuple[Fault, ...]:
    """Return all columns."""
    return (
        Fault('process dies', _kill),
        Fault('process paused past its lease', _pause),
        Fault('store down', _take_store_down),
        Fault('store slow', _slow_store),
        Fault('reply lost after effect', _lose_replies),
        Fault('target dies', _kill_targets),
        Fault('target hangs', _hang_targets),
        Fault('target leaves', _leave_targets),
        Fault('connection goes silent', _silence),
        Fault('answer late, duplicated, out of order', _confuse_answers),
        Fault('peers parted', _part_peers),
        Fault('regions parted', _part_regions),
        Fault('rival operators', _race_operators),
        Fault('cache events late with gaps', _lose_cache_events),
        Fault('load report stale', _hold_reports_back),
    )


def _refuse_orders(one: world.World, instance: str) -> None:
    """Let engines refuse the next orders, among them releases."""
    for engine in one.site.engines.values():
        give_order = engine.give_order
        left = [_REFUSED_ORDERS]

        async def refuse(order, give_order=give_order, left=left):
            left[0] -= 1
            if left[0] >= 0:
                return failures.Failure(
                    failures.Kind.OUTCOME_UNKNOWN, 'the order was lost'
                )
            return await give_order(order)

        engine.give_order = refuse


def _die_in_outage(one: world.World, instance: str) -> None:
    """End the process while the store is down and answers are ready."""
    _take_store_down(one, instance)
    one.site.clock.call_after(_SOON, lambda: _kill(one, instance))


def _kill(one: world.World, instance: str) -> None:
    if instance in one.site.instances:
        one.site.kill(instance)


def _pause(one: world.World, instance: str) -> None:
    frozen = one.site.instances.get(instance)
    if frozen is None:
        return
    frozen.gate.close()
    one.site.clock.call_after(LEASE_AND_MORE, frozen.gate.open)


def _take_store_down(one: world.World, instance: str) -> None:
    faults = one.site.platform.faults
    faults.down = True

    def bring_back() -> None:
        faults.down = False

    one.site.clock.call_after(OUTAGE, bring_back)


def _slow_store(one: world.World, instance: str) -> None:
    faults = one.site.platform.faults
    faults.delay = _SLOWNESS

    def speed_up() -> None:
        faults.delay = world.STORE_DELAY

    one.site.clock.call_after(_SLOW_FOR, speed_up)


def _lose_replies(one: world.World, instance: str) -> None:
    one.site.platform.faults.lost_replies = _LOST_REPLIES


def _kill_targets(one: world.World, instance: str) -> None:
    """End the busiest engine for good; orders break off after effect."""
    engine = _find_busy_engine(one)
    engine.set_faults(engine_model.EngineFaults(calls=0, dead=True))
    one.dead_engines.add(engine.name)
    _set_order_faults(one, 'die_after')


def _hang_targets(one: world.World, instance: str) -> None:
    for engine in one.site.engines.values():
        _break_streams(engine, 'hang')
    _set_order_faults(one, 'hang')


def _leave_targets(one: world.World, instance: str) -> None:
    engine = _find_busy_engine(one)
    engine.faults.leaving = True
    one.leaving[engine.name] = one.site.clock.now()
    service = one.site.services['orders-1']
    service.faults.leaving = True
    one.leaving[service.name] = one.site.clock.now()


def _silence(one: world.World, instance: str) -> None:
    """Silence open connections: to engines, and between instances."""
    for engine in one.site.engines.values():
        _break_streams(engine, 'silence')
    for other in one.site.instances:
        if other != instance:
            one.site.network.silence(f'peer-{instance}', f'peer-{other}')
            one.site.network.silence(f'peer-{other}', f'peer-{instance}')


def _confuse_answers(one: world.World, instance: str) -> None:
    for engine in one.site.engines.values():
        engine.faults.calls = 3
        engine.faults.stream = 'twice'
        engine.faults.seconds = _LATE
    for service in one.site.services.values():
        service.faults.late = _LATE
        service.faults.calls = 3


def _part_peers(one: world.World, instance: str) -> None:
    for other in one.site.instances:
        if other != instance:
            one.site.network.cut(f'peer-{instance}', f'peer-{other}')
    one.site.clock.call_after(_PARTED_FOR, one.site.network.heal)


def _part_regions(one: world.World, instance: str) -> None:
    one.site.network.cut(*world.REGIONS)
    one.site.clock.call_after(_PARTED_FOR, one.site.network.heal)


def _race_operators(one: world.World, instance: str) -> None:
    async def race() -> None:
        await asyncio.gather(
            one.site.publish(), one.site.publish(), return_exceptions=True
        )

    one.tasks.append(asyncio.ensure_future(race()))


def _lose_cache_events(one: world.World, instance: str) -> None:
    for engine in one.site.engines.values():
        engine.faults.event_gap = 2
        engine.options = engine.options._replace(event_delay=_STALE)


def _hold_reports_back(one: world.World, instance: str) -> None:
    for engine in one.site.engines.values():
        engine.options = engine.options._replace(report_lag=_STALE)


def _break_streams(engine: typing.Any, stream: str) -> None:
    """Break the next stream; an engine that leaves goes on leaving."""
    engine.faults.calls = 1
    engine.faults.stream = stream
    engine.faults.after = _HANG_AFTER


def _find_busy_engine(one: world.World) -> typing.Any:
    return max(
        one.site.engines.values(),
        key=lambda engine: (sum(engine.batch.cache.values()), engine.name),
    )


def _set_order_faults(one: world.World, call: str) -> None:
    for name in ('orders-1', 'orders-2'):
        faults = one.site.services[name].faults
        faults.calls = 1
        faults.call = call


# No columns of the matrix of their own; they show what single guards are for.
REFUSED_ORDERS = Fault('target refuses orders', _refuse_orders)
DEATH_IN_OUTAGE = Fault('process dies in an outage', _die_in_outage)
