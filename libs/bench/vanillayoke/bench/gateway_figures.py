"""Figures of the gateway bench and the bounds on their ratios."""

import statistics
import typing

from vanillayoke.bench import gateway_load

BENCH = 'gateway'
FIRST_TOKEN_P50 = 'first_token_p50_ms'
FIRST_TOKEN_P99 = 'first_token_p99_ms'
LOADED_FIRST_TOKEN_P50 = 'loaded_first_token_p50_ms'
TOKENS_PER_SECOND = 'tokens_per_second'
READS = 'reads_per_answer'
EQUAL_ANSWERS = 'equal_answers'


class Bound(typing.NamedTuple):
    """The range that a ratio has to lie in."""

    least: float = 0.0
    most: float = float('inf')

    def __str__(self) -> str:
        if self.least:
            return f'>= {self.least}'
        return f'<= {self.most}'


# Ratios of one run, so a slow machine slows both sides.
BOUNDS = {
    # Two more hops and a request on one of them, against an engine's 6 ms:
    # 1.4 on a quiet machine, 1.9 on one with more work than processors.
    FIRST_TOKEN_P50: Bound(most=3.0),
    # The slowest of some hundred calls meets whatever the machine does
    # besides, on either side: 1.4 to 2.5. A stall of the loop of a tenth of
    # a second reaches this.
    FIRST_TOKEN_P99: Bound(most=10.0),
    # An instance that cannot follow lets a queue grow, which shows as many
    # times the engine's own time: 1.1 to 2.3, and 3.9 when each token was
    # taken through by itself.
    LOADED_FIRST_TOKEN_P50: Bound(most=4.0),
    # The load offers the same calls both ways, so the ratio is 1 unless
    # the instance falls behind; ends of the rounds scatter by some percent.
    TOKENS_PER_SECOND: Bound(least=0.85),
    # Whether tokens are batched hardly depends on the machine: 0.12, and
    # 0.33 with 28 ms between tokens.
    READS: Bound(most=0.5),
    # A promise, not a speed.
    EQUAL_ANSWERS: Bound(least=1.0),
}


class Comparison(typing.NamedTuple):
    """The same calls asked directly and through the instance."""

    direct: list[gateway_load.Reading]
    through: list[gateway_load.Reading]


class CpuTimes(typing.NamedTuple):
    """Processor seconds; ``engine`` is that of the busiest one."""

    instance: float
    engine: float
    load: float


class LoadRound(typing.NamedTuple):
    """A round of load; ``cpu`` is that of its part through the instance."""

    readings: Comparison
    tokens: int
    cpu: CpuTimes


class Memory(typing.NamedTuple):
    """Resident bytes of the instance without and after the load."""

    empty: int
    loaded: int


class Figure(typing.NamedTuple):
    """One line of the bench; ``bound`` is empty where there is none.

    ``baseline`` is the engine's own figure, where there is such a thing.
    """

    bench: str
    metric: str
    value: float
    baseline: float | None
    ratio: float | None
    bound: str
    ok: bool


def make_figures(
    idle: Comparison, rounds: typing.Sequence[LoadRound], memory: Memory
) -> typing.Iterator[Figure]:
    """Return the lines of a run."""
    loaded = _join([one.readings for one in rounds])
    yield from _compare_first_tokens('', idle)
    yield from _compare_first_tokens('loaded_', loaded)
    yield _make_figure(
        TOKENS_PER_SECOND,
        _find_rate(rounds, [one.readings.through for one in rounds]),
        _find_rate(rounds, [one.readings.direct for one in rounds]),
    )
    yield from _describe_cpu(rounds)
    yield _make_figure(
        READS,
        statistics.mean(one.reads for one in loaded.through),
        statistics.mean(one.reads for one in loaded.direct),
    )
    yield _make_figure(
        'resident_mib', memory.loaded / 2**20, memory.empty / 2**20
    )
    whole = _join([idle, loaded])
    equal = sum(
        a.text == b.text and bool(a.text)
        for a, b in zip(whole.direct, whole.through, strict=True)
    )
    yield _make_figure(EQUAL_ANSWERS, equal, len(whole.direct))


def _join(readings: typing.Sequence[Comparison]) -> Comparison:
    return Comparison(
        [reading for one in readings for reading in one.direct],
        [reading for one in readings for reading in one.through],
    )


def _compare_first_tokens(
    prefix: str, readings: Comparison
) -> typing.Iterator[Figure]:
    direct = _list_percentiles(readings.direct)
    through = _list_percentiles(readings.through)
    for name, a, b in zip(('p50', 'p99'), direct, through, strict=True):
        yield _make_figure(f'{prefix}first_token_{name}_ms', b, a)
        yield _make_figure(f'{prefix}added_{name}_ms', b - a)


def _list_percentiles(
    readings: typing.Sequence[gateway_load.Reading],
) -> tuple[float, float]:
    """Return the 50th and 99th percentile in milliseconds."""
    times = [reading.first_token * 1000 for reading in readings]
    cuts = statistics.quantiles(times, n=100, method='inclusive')
    return cuts[49], cuts[98]


def _find_rate(
    rounds: typing.Sequence[LoadRound],
    readings: typing.Sequence[typing.Sequence[gateway_load.Reading]],
) -> float:
    """Return the tokens a second, from first request to last end."""
    seconds = sum(
        max(one.ended_at for one in part) - min(one.sent_at for one in part)
        for part in readings
    )
    return sum(one.tokens for one in rounds) / seconds


def _describe_cpu(
    rounds: typing.Sequence[LoadRound],
) -> typing.Iterator[Figure]:
    """Return what the processes used; the load must not be the limit."""
    tokens = sum(one.tokens for one in rounds)
    through = [one.readings.through for one in rounds]
    seconds = tokens / _find_rate(rounds, through)
    instance = sum(one.cpu.instance for one in rounds)
    engine = sum(one.cpu.engine for one in rounds)
    load = sum(one.cpu.load for one in rounds)
    yield _make_figure('cpu_s_per_1000_tokens', instance / tokens * 1000)
    yield _make_figure('tokens_per_second_a_core', tokens / instance)
    yield _make_figure('instance_cores', instance / seconds)
    yield _make_figure('busiest_engine_cores', engine / seconds)
    yield _make_figure('load_cores', load / seconds)


def _make_figure(
    metric: str, value: float, baseline: float | None = None
) -> Figure:
    ratio = value / baseline if baseline else None
    bound = BOUNDS.get(metric)
    return Figure(
        BENCH,
        metric,
        round(value, 4),
        None if baseline is None else round(baseline, 4),
        None if ratio is None else round(ratio, 4),
        str(bound) if bound else '',
        bound is None or _is_within(bound, ratio),
    )


def _is_within(bound: Bound, ratio: float | None) -> bool:
    return ratio is not None and bound.least <= ratio <= bound.most
