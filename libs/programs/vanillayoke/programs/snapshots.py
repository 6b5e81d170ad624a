"""Snapshots: a program's whole state in one record."""

import msgspec

from vanillayoke.programs import budget
from vanillayoke.programs import calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records


class _State(msgspec.Struct, frozen=True):
    """The stored state; the history is rebuilt from the calls."""

    opened: records.ProgramOpened
    state: programs.ProgramState
    end_reason: str
    ended_at: float
    calls: list[calls.Call]
    held: list[str]
    open_run: str
    run_ends: dict[str, programs.RunEnd]
    committed: records.Spend
    reserved: dict[str, records.Spend]
    settled: list[str]


def take_snapshot(
    program: programs.Program, epoch: int
) -> records.ProgramSnapshot:
    """Return a record of a program's state, written in an epoch."""
    state = _State(
        opened=_make_opened(program),
        state=program.state,
        end_reason=program.end_reason,
        ended_at=program.ended_at,
        calls=program.calls,
        held=sorted(program.cache_targets),
        open_run=program.open_run,
        run_ends=program.run_ends,
        committed=program.ledger.committed,
        reserved=program.ledger.open,
        settled=sorted(program.ledger.settled),
    )
    blob = msgspec.msgpack.encode(state)
    return records.ProgramSnapshot(
        program.id,
        epoch,
        sequence=program.sequence,
        state=msgspec.Raw(blob),
    )


def _make_opened(program: programs.Program) -> records.ProgramOpened:
    names = records.ProgramOpened.__struct_fields__
    return records.ProgramOpened(
        **{name: getattr(program, name) for name in names}
    )


def restore_snapshot(record: records.ProgramSnapshot) -> programs.Program:
    """Return the program of a snapshot.

    Raise ``msgspec.DecodeError`` if it is corrupt.
    """
    state = msgspec.msgpack.decode(record.state, type=_State)
    program = programs.Program.from_opened(state.opened)
    for call in state.calls:
        program.restore_call(call)
    program.epoch = record.epoch
    program.sequence = record.sequence
    program.state = state.state
    program.end_reason = state.end_reason
    program.ended_at = state.ended_at
    program.cache_targets = set(state.held)
    program.open_run = state.open_run
    program.run_ends = state.run_ends
    program.ledger = budget.Ledger(
        budget=program.budget,
        committed=state.committed,
        open=state.reserved,
        settled=set(state.settled),
    )
    return program
