"""Scenarios of emulations, read from JSON files with comments.

Times are in seconds unless a name ends in ``_ms``; rates are per second.
"""

import typing

import msgspec
import pyjson5


class ScenarioError(Exception):
    """A scenario is invalid; the message names the file and the field."""


class Engines(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The simulated engines, which are identical.

    Each token takes ``step_ms`` plus ``slot_ms`` for each request of the
    batch. ``prefill_per_ms`` tokens of a prompt are processed per
    millisecond.
    """

    count: int
    slots: int
    queue: int = 18
    step_ms: float = 2.2
    slot_ms: float = 0.055
    prefill_per_ms: float = 150.0


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of programs; numbers are means of random values per program.

    A program's time limit is ``aim_factor`` times its duration on idle
    engines plus ``aim_extra``. It earns ``worth`` if it ends within the limit
    and ``late_worth`` if it ends within twice the limit. ``way`` is the
    network delay per turn.
    """

    name: str
    rate: float
    turns: float
    tokens: float
    prompt: float = 1200.0
    pause: float = 0.1
    tool: float = 0.06
    way: float = 0.03
    aim_factor: float = 1.4
    aim_extra: float = 0.25
    worth: float = 1.0
    late_worth: float = 0.3
    priority: int = 0


class Burst(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A period in which ``times`` as many programs start.

    It applies to programs of one kind, or of all if ``kind`` is empty.
    """

    at: float
    seconds: float
    times: float
    kind: str = ''


class Slow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A period in which some engines take ``times`` as long."""

    at: float
    seconds: float
    engines: int
    times: float


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The engines, load and faults of an emulation, and its policies."""

    name: str
    instances: int
    zones: int
    engines: Engines
    kinds: tuple[Kind, ...]
    seconds: float = 30.0
    seeds: tuple[int, ...] = (1, 2, 3, 4, 5)
    policies: tuple[str, ...] = ('counted', 'reported')
    bursts: tuple[Burst, ...] = ()
    slow: tuple[Slow, ...] = ()


_POSITIVE = ('instances', 'zones', 'seconds')


def read_scenario(path: str) -> Scenario:
    """Read a scenario from a file.

    Raise ``ScenarioError`` if it can't be read or is invalid.
    """
    try:
        with open(path, encoding='utf-8') as file:
            content = pyjson5.decode(file.read())
        scenario = msgspec.convert(content, Scenario)
    except OSError as error:
        raise ScenarioError(f'{path}: {error.strerror}') from error
    except pyjson5.Json5Exception as error:
        raise ScenarioError(f'{path}: {error.message}') from error
    except msgspec.ValidationError as error:
        raise ScenarioError(f'{path}: {error}') from error
    for fault in list_faults(scenario):
        raise ScenarioError(f'{path}: {fault}')
    return scenario


def list_faults(scenario: Scenario) -> typing.Iterator[str]:
    """Yield messages on invalid values; types were checked before."""
    for name in _POSITIVE:
        if getattr(scenario, name) <= 0:
            yield f'`{name}` must be greater than 0'
    if scenario.engines.count <= 0 or scenario.engines.slots <= 0:
        yield '`engines` needs a `count` and `slots` greater than 0'
    names = {kind.name for kind in scenario.kinds}
    for kind in scenario.kinds:
        if kind.rate < 0 or kind.turns < 1 or kind.tokens <= 0:
            yield (
                f'kind `{kind.name}`: `rate` must be at least 0, `turns` at'
                ' least 1 and `tokens` greater than 0'
            )
    for burst in scenario.bursts:
        if burst.kind and burst.kind not in names:
            yield f'`bursts`: no kind is called `{burst.kind}`'
    if not scenario.seeds or not scenario.policies:
        yield '`seeds` and `policies` must not be empty'
