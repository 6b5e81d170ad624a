"""Measure how a long program is applied, replayed and snapshotted.

Run as ``python -m vanillayoke.bench.programs``; prints one JSON line for
each measurement. The program has the size of the users' longest ones.
"""

import json
import resource
import statistics
import sys
import time
import typing

from vanillayoke.core import ids
from vanillayoke.programs import checks
from vanillayoke.programs import decisions
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.programs import replay
from vanillayoke.programs import snapshots

TURNS = 170
CHARACTERS = 4_000_000
ROUNDS = 15
_TEXT_PER_TURN = CHARACTERS // TURNS
_ANSWER = 800
_BUDGET = records.Budget(tokens=10**9, calls=10**6, seconds=1e9, money=10**12)
_SPENT = records.Spend(tokens=5_000, calls=1, seconds=1.5, money=100)
_EPOCH = 1
_ALL_SHARDS = range(ids.SHARD_COUNT)


class Figure(typing.NamedTuple):
    """One measurement; times are the median and most, in milliseconds."""

    name: str
    median_ms: float
    most_ms: float
    records: int
    bytes: int


def make_segments() -> list[records.Segment]:
    """Return the journal of one program: a model and a tool call a turn."""
    opened = records.ProgramOpened(
        ids.derive_program_id('bench', 'long'),
        _EPOCH,
        client='bench',
        agent='board',
        key='long',
        fingerprint='f',
        budget=_BUDGET,
        deadline=1e12,
        urgent=False,
        opened_at=0.0,
    )
    program = programs.Program.from_opened(opened)
    segments = [records.Segment('bench', 0, (opened,))]
    for turn in range(TURNS):
        _add_turn(program, segments, turn)
    return segments


def _add_turn(
    program: programs.Program, segments: list[records.Segment], turn: int
) -> None:
    question = records.Message('user', _make_text(turn, _ANSWER))
    request = records.ToolRequest(f'c{turn}', 'look_up', f'{{"turn":{turn}}}')
    answer = records.Message(
        'assistant', _make_text(turn, _ANSWER), tool_calls=(request,)
    )
    proposal = checks.CallProposal(
        kind=records.CallKind.MODEL,
        key=f'm{turn}',
        fingerprint='f',
        idempotent=True,
        name='agent',
        messages=(question,),
        reserved=_SPENT,
    )
    _add_call(program, segments, proposal, answer)
    length = _TEXT_PER_TURN - 2 * _ANSWER
    result = records.Message(
        'tool', _make_text(turn, length), tool_call_id=request.id
    )
    proposal = proposal._replace(
        kind=records.CallKind.TOOL,
        key=f't{turn}',
        name=request.name,
        messages=(),
        arguments=request.arguments,
        tool_call_id=request.id,
    )
    _add_call(program, segments, proposal, result)


def _make_text(turn: int, length: int) -> str:
    word = f'swatch {turn:04} '
    return (word * (length // len(word) + 1))[:length]


def _add_call(
    program: programs.Program,
    segments: list[records.Segment],
    proposal: checks.CallProposal,
    message: records.Message,
) -> None:
    decided = decisions.accept_call(program, (), proposal, _EPOCH, 0.0)
    _take(program, segments, decided)
    number = len(program.calls)
    decided = decisions.intend_call(program, number, 1, 'engine', _EPOCH)
    _take(program, segments, decided)
    decided = decisions.answer_call(
        program, (), number, message, 'stop', _SPENT, 'engine', _EPOCH
    )
    _take(program, segments, decided)


def _take(
    program: programs.Program,
    segments: list[records.Segment],
    decided: list[records.AnyRecord],
) -> None:
    for record in decided:
        program.apply(record)
    segments.append(records.Segment('bench', len(segments), tuple(decided)))


def measure(
    name: str, function: typing.Callable[[], object], count: int, size: int
) -> Figure:
    """Run a function several times; return its figure."""
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        function()
        times.append((time.perf_counter() - began) * 1000)
    return Figure(
        name,
        round(statistics.median(times), 3),
        round(max(times), 3),
        count,
        size,
    )


def measure_growth(found: list[records.AnyRecord], size: int) -> Figure:
    """Time each record's application; the last must cost like the first."""
    known: dict[str, programs.Program] = {}
    times = []
    for record in found:
        began = time.perf_counter()
        replay.apply_record(known, record)
        times.append((time.perf_counter() - began) * 1000)
    tail = times[-len(times) // 10 :]
    return Figure(
        'apply_one_of_last_tenth',
        round(statistics.median(tail), 4),
        round(max(tail), 4),
        len(tail),
        size,
    )


def list_figures() -> list[Figure]:
    """Measure everything once."""
    segments = make_segments()
    blobs = [records.encode_segment(segment) for segment in segments]
    journal = sum(len(blob) for blob in blobs)
    found = [record for one in segments for record in one.records]
    program = apply_all(found)
    snapshot = snapshots.take_snapshot(program, _EPOCH)
    count = len(found)
    size = len(snapshot.state)
    return [
        measure('apply', lambda: apply_all(found), count, journal),
        measure_growth(found, journal),
        measure(
            'decode_and_replay', lambda: decode_all(blobs), count, journal
        ),
        measure('history', program.history, count, program.text_length),
        measure(
            'take_snapshot',
            lambda: snapshots.take_snapshot(program, _EPOCH),
            1,
            size,
        ),
        measure(
            'restore_snapshot',
            lambda: snapshots.restore_snapshot(snapshot),
            1,
            size,
        ),
    ]


def apply_all(found: list[records.AnyRecord]) -> programs.Program:
    """Apply records that are in memory already."""
    known: dict[str, programs.Program] = {}
    for record in found:
        replay.apply_record(known, record)
    return known[found[0].program]


def decode_all(blobs: list[bytes]) -> dict[str, programs.Program]:
    """Decode and replay a journal as a takeover does."""
    segments = (records.decode_segment(blob) for blob in blobs)
    return replay.replay(segments, _ALL_SHARDS)


def main() -> int:
    """Print the figures as JSON lines."""
    for figure in list_figures():
        print(json.dumps(figure._asdict()))
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(json.dumps({'name': 'peak_resident', 'kilobytes': usage.ru_maxrss}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
