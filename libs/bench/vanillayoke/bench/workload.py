"""Workloads of agent programs, drawn before a run from a seed.

All policies of one run get the very same programs, arrival times, tokens
and pauses, so that a difference between two figures is the policy's.
"""

import math
import random
import typing


class Turn(typing.NamedTuple):
    """A model call and what follows it.

    ``pause`` is the tool's time in seconds, infinite where the caller never
    comes back. ``service`` names a group of service targets that the tool
    runs on instead; ``pause`` then is the service's own time.
    ``children`` are sub-agents, all of which must end before the next turn.
    """

    new_tokens: int
    output_tokens: int
    tool: str
    pause: float
    service: str
    idempotent: bool
    children: tuple['Plan', ...]


class Plan(typing.NamedTuple):
    """A program; ``shared_tokens`` are its agent's common instructions."""

    name: str
    client: str
    at: float
    urgent: bool
    agent: str
    shared_tokens: int
    turns: tuple[Turn, ...]


class Deployment(typing.NamedTuple):
    """Sizes of a user's installation; ``services`` are (group, count)."""

    name: str
    zones: tuple[str, ...]
    engines: int
    services: tuple[tuple[str, int], ...]
    instances: int
    caller_latency: float


TKACIK = Deployment(
    'tkacik',
    ('ba-petrzalka', 'ba-ruzinov', 'tt-hall'),
    4,
    (('stock', 2), ('orders', 1)),
    12,
    0.001,
)
SHIRETOKO = Deployment(
    'shiretoko',
    ('sapporo-a', 'sapporo-b', 'asahikawa', 'kushiro'),
    5,
    (('sheets', 3), ('orders', 1)),
    13,
    0.003,
)
DEPLOYMENTS = {TKACIK.name: TKACIK, SHIRETOKO.name: SHIRETOKO}

CACHE_TOKENS = 200_000
SLOTS = 16
SERVICE_SLOTS = 16

STEP_BASE = 0.002
STEP_PER_CALL = 0.00005
PREFILL_PER_TOKEN = 0.00005
"""Seconds of an engine step, of each call in it, of a prefilled token."""

MINIMUM_TURNS = 3
MAXIMUM_TURNS = 60
_TURN_SHAPE = 1.2
_CHILD_MAXIMUM_TURNS = 8
_URGENT_SHARE = 0.08
_FAMILY_SHARE = 0.15
_MAXIMUM_CHILDREN = 3
_SERVICE_SHARE = 0.3
_ORDER_SHARE = 0.05
_VANISHING_SHARE = 0.02
_MEAN_NEW_TOKENS = 250
EXPECTED_OUTPUT_TOKENS = 150
_AGENTS = (('board', 2500), ('stock', 1200), ('advice', 1800))
_CLIENTS = ('north', 'south', 'east', 'west')
_SERVICE_SECONDS = 0.15


class _Tool(typing.NamedTuple):
    """A tool with a bounded Pareto distribution of its seconds."""

    name: str
    share: float
    shortest: float
    longest: float
    shape: float


_TOOLS = (
    _Tool('lookup', 0.5, 0.1, 5.0, 1.3),
    _Tool('render', 0.35, 0.8, 30.0, 1.2),
    _Tool('person', 0.15, 4.0, 120.0, 1.1),
)


def draw_pareto(
    source: random.Random, shortest: float, longest: float, shape: float
) -> float:
    """Draw from a Pareto distribution bounded on both sides."""
    ratio = (shortest / longest) ** shape
    uniform = source.random()
    return shortest * (1 - uniform * (1 - ratio)) ** (-1 / shape)


def measure_work(plan: Plan) -> float:
    """Return the engine seconds of a program that never misses the cache.

    A full batch is assumed, and the shared instructions to be cached.
    """
    per_token = (STEP_BASE + SLOTS * STEP_PER_CALL) / SLOTS
    work = 0.0
    for turn in plan.turns:
        work += turn.new_tokens * PREFILL_PER_TOKEN
        work += turn.output_tokens * per_token
        work += sum(measure_work(child) for child in turn.children)
    return work


def measure_pauses(plan: Plan) -> float:
    """Return the seconds of a program's tools, sub-agents' one by one."""
    seconds = 0.0
    for turn in plan.turns:
        seconds += turn.pause
        seconds += sum(measure_pauses(child) for child in turn.children)
    return seconds


def count_turns(plan: Plan) -> int:
    """Return the turns of a program and of its sub-agents."""
    count = len(plan.turns)
    for turn in plan.turns:
        count += sum(count_turns(child) for child in turn.children)
    return count


def vanishes(plan: Plan) -> bool:
    """Tell whether the program's caller never comes back."""
    return math.isinf(plan.turns[-1].pause)


def draw_plans(
    deployment: Deployment, load: float, seconds: float, seed: int
) -> list[Plan]:
    """Draw the programs that arrive within a time.

    ``load`` 1.0 offers as much work as all engines can do with full batches
    and without ever computing a prefix twice.
    """
    source = random.Random(f'{seed}/{deployment.name}')
    sample = [_draw_plan(source, deployment, 'sample') for _ in range(2000)]
    mean = sum(measure_work(plan) for plan in sample) / len(sample)
    rate = load * deployment.engines / mean
    plans = []
    at = source.expovariate(rate)
    while at < seconds:
        plan = _draw_plan(source, deployment, f'prg-{source.getrandbits(64)}')
        plans.append(plan._replace(at=at))
        at += source.expovariate(rate)
    return plans


def _draw_plan(
    source: random.Random, deployment: Deployment, name: str
) -> Plan:
    agent, shared_tokens = source.choice(_AGENTS)
    urgent = source.random() < _URGENT_SHARE
    turns = _draw_turns(source, deployment, urgent)
    if not urgent and source.random() < _FAMILY_SHARE:
        place = source.randrange(len(turns) - 1)
        children = _draw_children(source, deployment, name)
        turns[place] = turns[place]._replace(
            tool='agent', pause=0.0, service='', children=children
        )
    if not urgent and source.random() < _VANISHING_SHARE:
        last = source.randrange(1, len(turns))
        turns = turns[: last + 1]
        turns[last] = turns[last]._replace(
            tool='person', pause=math.inf, service='', children=()
        )
    client = source.choice(_CLIENTS)
    return Plan(name, client, 0.0, urgent, agent, shared_tokens, tuple(turns))


def _draw_turns(
    source: random.Random, deployment: Deployment, urgent: bool
) -> list[Turn]:
    count = MINIMUM_TURNS
    if not urgent:
        drawn = draw_pareto(source, MINIMUM_TURNS, MAXIMUM_TURNS, _TURN_SHAPE)
        count = int(drawn)
    turns = [_draw_turn(source, deployment, urgent) for _ in range(count)]
    turns[-1] = turns[-1]._replace(tool='', pause=0.0, service='')
    return turns


def _draw_turn(
    source: random.Random, deployment: Deployment, urgent: bool
) -> Turn:
    new_tokens = _draw_tokens(source, _MEAN_NEW_TOKENS)
    output_tokens = _draw_tokens(source, EXPECTED_OUTPUT_TOKENS)
    chance = source.random()
    if urgent or chance < _SERVICE_SHARE:
        order = source.random() < _ORDER_SHARE
        group = deployment.services[1 if order else 0][0]
        pause = source.expovariate(1 / _SERVICE_SECONDS)
        return Turn(
            new_tokens, output_tokens, group, pause, group, not order, ()
        )
    weights = [tool.share for tool in _TOOLS]
    tool = source.choices(_TOOLS, weights)[0]
    pause = draw_pareto(source, tool.shortest, tool.longest, tool.shape)
    return Turn(new_tokens, output_tokens, tool.name, pause, '', True, ())


def _draw_tokens(source: random.Random, mean: int) -> int:
    sigma = 0.6
    drawn = source.lognormvariate(math.log(mean) - sigma**2 / 2, sigma)
    return max(8, int(drawn))


def _draw_children(
    source: random.Random, deployment: Deployment, root: str
) -> tuple[Plan, ...]:
    children = []
    for number in range(source.randint(1, _MAXIMUM_CHILDREN)):
        agent, shared_tokens = source.choice(_AGENTS)
        turns = _draw_turns(source, deployment, False)
        turns = turns[: _CHILD_MAXIMUM_TURNS - 1] + turns[-1:]
        name = f'{root}.{number}'
        children.append(
            Plan(name, '', 0.0, False, agent, shared_tokens, tuple(turns))
        )
    return tuple(children)
