"""The rows of the matrix: steps of a call's life, and how each is met."""

import asyncio
import typing

from vanillayoke.core import events
from vanillayoke.harness import virtual
from vanillayoke.harness.matrix import world

Matches = typing.Callable[[world.World, str, events.Event, dict], bool]


class Step(typing.NamedTuple):
    """A row: the first event that ``matches`` is the moment of the fault.

    ``prepare`` brings the system to the step where the workload alone does
    not come by it; ``delay`` is in seconds behind the event.
    """

    name: str
    matches: Matches
    prepare: typing.Callable[[world.World], None] | None = None
    delay: float = 0.0


def list_steps() -> tuple[Step, ...]:
    """Return all rows in the order of a call's life."""
    return (
        Step('accepted', _is_event(events.CALL_ACCEPTED, 4)),
        Step('budget reserved', _is_child_event(events.CALL_ACCEPTED)),
        Step('intent written', _is_event(events.CALL_INTENDED, 4)),
        Step('dispatched', _is_event(events.CALL_DISPATCHED, 4)),
        Step('first token', _is_event(events.CALL_FIRST_TEXT, 7)),
        Step(
            'mid-stream', _is_event(events.CALL_FIRST_TEXT, 7), delay=_MIDWAY
        ),
        Step('answered before commit', _is_event(events.CALL_ANSWERED, 7)),
        Step(
            'committed before the caller heard',
            _is_event(events.CALL_COMMITTED, 7),
        ),
        Step('tool pause', _is_event(events.CALL_DISPATCHED, 2)),
        Step(
            'waiting for a sub-agent', _is_child_event(events.CALL_DISPATCHED)
        ),
        Step('order issued', _is_release),
        Step('drain', _is_kind(events.DRAIN_STARTED), _drain_owner),
        Step('takeover', _is_kind(events.PROGRAM_REPLAYED), _kill_owner),
        Step('configuration change', _is_new_configuration, _publish_midway),
    )


def _is_event(event: events.Event, call: int) -> Matches:
    def matches(
        one: world.World, instance: str, seen: events.Event, fields: dict
    ) -> bool:
        return (
            seen is event
            and fields['program'] == one.programs[virtual.CLIENT]
            and fields['call'] == call
        )

    return matches


def _is_child_event(event: events.Event) -> Matches:
    def matches(
        one: world.World, instance: str, seen: events.Event, fields: dict
    ) -> bool:
        program = one.programs[virtual.CLIENT]
        return seen is event and fields['program'].startswith(f'{program}.')

    return matches


def _is_kind(event: events.Event) -> Matches:
    return lambda one, instance, seen, fields: seen is event


def _is_release(
    one: world.World, instance: str, seen: events.Event, fields: dict
) -> bool:
    """Match the moment before the first release order is given."""
    program = one.programs[virtual.CLIENT]
    return seen is events.PROGRAM_ENDED and fields['program'] == program


def _is_new_configuration(
    one: world.World, instance: str, seen: events.Event, fields: dict
) -> bool:
    return seen is events.CONFIGURATION_IN_FORCE and fields['version'] == 2


def _drain_owner(one: world.World) -> None:
    """Stop the owner in order while the first turn runs."""

    async def drain() -> None:
        await one.site.clock.sleep(_SOON)
        name = one.find_owner()
        if name is not None:
            one.to_drain.append(name)
            await one.site.stop(name)

    one.tasks.append(asyncio.ensure_future(drain()))


def _kill_owner(one: world.World) -> None:
    """Kill the owner while the first turn runs."""

    def kill() -> None:
        name = one.find_owner()
        if name is not None:
            one.site.kill(name)

    one.site.clock.call_after(_SOON, kill)


def _publish_midway(one: world.World) -> None:
    """Publish a second version while the first turn runs."""

    async def publish() -> None:
        await one.site.clock.sleep(_SOON)
        await one.site.publish()

    one.tasks.append(asyncio.ensure_future(publish()))


_SOON = 0.3
_MIDWAY = 0.15


# No row of the matrix of its own: the first call is on its way, its intent
# not durable yet.
JUST_SENT = Step(
    'first call just sent', _is_event(events.CALL_DISPATCHED, 1), delay=0.003
)
