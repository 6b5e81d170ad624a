"""What must hold in every cell, checked when all has settled."""

import typing

from vanillayoke.core import failures
from vanillayoke.harness.matrix import world

LEAVING_GRACE = 3.0
_UNKNOWN = failures.Kind.OUTCOME_UNKNOWN.value

Stories = typing.Sequence[world.ProgramStory]
Check = typing.Callable[[world.World, Stories], list[str]]


def list_checks() -> tuple[Check, ...]:
    """Return all checks; each returns what it found broken."""
    return (
        check_answered,
        check_order,
        check_history,
        check_budget,
        check_engine_memory,
        check_refusals,
        check_at_most_once,
        check_leaving_targets,
        check_graceful_stops,
        check_configuration,
    )


def check_answered(one: world.World, stories: Stories) -> list[str]:
    """Each caller got the whole answer to its own request.

    A run whose order has an unknown outcome goes on, since the model reads
    that; so every run ends with a final answer.
    """
    broken = []
    for story in stories:
        expected = 2 if len(story.told) == 2 else 1
        if len(story.told) != expected or not story.told:
            broken.append(f'{story.client}: not all turns were run')
        for told in story.told:
            if failures.is_failure(told.final):
                broken.append(f'{story.client}: {told.final}')
            elif told.text != told.final.text:
                broken.append(f'{story.client}: the streamed text differs')
        if failures.is_failure(story.ended):
            broken.append(f'{story.client}: not ended: {story.ended}')
    return broken


def check_order(one: world.World, stories: Stories) -> list[str]:
    """Calls of a program are numbered in order without a gap."""
    broken = []
    for story in stories:
        if failures.is_failure(story.history):
            broken.append(f'{story.client}: no history: {story.history}')
            continue
        numbers = [entry['number'] for entry in story.history]
        distinct = sorted(set(numbers))
        if numbers != sorted(numbers):
            broken.append(f'{story.client}: calls out of order: {numbers}')
        if distinct != list(range(1, len(distinct) + 1)):
            broken.append(f'{story.client}: calls missing: {distinct}')
    return broken


def check_history(one: world.World, stories: Stories) -> list[str]:
    """All that a client was told is in its history, and nobody else's."""
    broken = []
    for story in stories:
        if failures.is_failure(story.history):
            continue
        answers = [
            entry['content']
            for entry in story.history
            if entry.get('role') == 'assistant' and entry.get('content')
        ]
        told = [
            one_told.final.text
            for one_told in story.told
            if not failures.is_failure(one_told.final)
        ]
        if answers != told:
            broken.append(f'{story.client}: history differs from answers')
        asked = [
            entry['content']
            for entry in story.history
            if entry.get('role') == 'user'
        ]
        turns = {
            'tkacik': [world.FIRST_TURN, world.SECOND_TURN],
            'shiretoko': [world.OTHER_TURN],
        }[story.client]
        if asked != turns[: len(story.told)]:
            broken.append(f'{story.client}: foreign or lost questions')
    return broken


def check_budget(one: world.World, stories: Stories) -> list[str]:
    """No budget is exceeded and nothing stays reserved at the end."""
    broken = []
    for found in _list_programs(one):
        remaining = found.remaining()
        for name in ('tokens', 'calls', 'seconds', 'money'):
            if getattr(remaining, name) < 0:
                broken.append(f'{found.id}: over its {name}')
        if found.ledger.open:
            broken.append(f'{found.id}: {len(found.ledger.open)} reserved')
    return broken


def check_engine_memory(one: world.World, stories: Stories) -> list[str]:
    """No engine that can be reached holds memory of an ended program."""
    return [
        f'{engine.name} holds {sorted(engine.batch.cache)}'
        for engine in one.site.engines.values()
        if engine.name not in one.dead_engines and engine.batch.cache
    ]


def check_refusals(one: world.World, stories: Stories) -> list[str]:
    """A refusal that said "not run" was true when it was given.

    The request holds an order, so none may have been executed by then.
    """
    return [
        f'"{told.failure.kind.value}" though an order ran'
        for told in one.not_run
        if told.executions
    ]


def check_at_most_once(one: world.World, stories: Stories) -> list[str]:
    """No order ran twice, nor was one order placed under two keys."""
    broken = []
    for name in ('orders-1', 'orders-2'):
        for key, count in one.site.services[name].executions.items():
            if count > 1:
                broken.append(f'{key} ran {count} times on {name}')
    keys = [
        key
        for name in ('orders-1', 'orders-2')
        for key in one.site.services[name].executions
    ]
    for program in one.programs.values():
        own = [key for key in keys if key.startswith(program)]
        if len(own) > 1:
            broken.append(f'{program} ordered {len(own)} times: {own}')
    return broken


def check_leaving_targets(one: world.World, stories: Stories) -> list[str]:
    """A leaving target got no new work after a few seconds."""
    return [
        f'{target} got work {at - one.leaving[target]:.1f} s after it left'
        for at, target in one.dispatches
        if target in one.leaving and at > one.leaving[target] + LEAVING_GRACE
    ]


def check_graceful_stops(one: world.World, stories: Stories) -> list[str]:
    """Each planned stop came to its end, where nothing else hit it."""
    return [
        f'{name} did not finish its drain'
        for name in one.to_drain
        if name not in one.drained and name not in one.struck
    ]


def check_configuration(one: world.World, stories: Stories) -> list[str]:
    """Versions never go back, and the last one is in force everywhere."""
    broken = []
    for name, versions in one.versions.items():
        if versions != sorted(set(versions)):
            broken.append(f'{name} went through {versions}')
    latest = one.site.version
    for name, instance in one.site.instances.items():
        in_force = instance.served.configuration.version
        if in_force != latest:
            broken.append(f'{name} has {in_force}, not {latest}')
    return broken


def _list_programs(one: world.World) -> list[typing.Any]:
    return [
        program
        for instance in one.site.instances.values()
        for program in instance.served.programs.known.values()
    ]
