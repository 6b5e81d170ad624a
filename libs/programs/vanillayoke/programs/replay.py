"""Replay of journal segments: the state that their records leave behind."""

import typing

from vanillayoke.core import ids
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.programs import snapshots


def replay(
    segments: typing.Iterable[records.Segment],
    shards: typing.Container[ids.Shard],
) -> dict[str, programs.Program]:
    """Apply segments in order; return the programs of the shards by id.

    A segment that comes twice is applied once. Records of a program whose
    opening and snapshots are not there are passed over: they are rests of
    one that the journal no longer keeps.
    """
    found: dict[str, programs.Program] = {}
    seen: set[tuple[str, int]] = set()
    for segment in segments:
        mark = (segment.instance, segment.number)
        if mark in seen:
            continue
        seen.add(mark)
        for record in segment.records:
            if ids.find_shard(record.program) in shards:
                apply_record(found, record)
    return found


def apply_record(
    programs_by_id: dict[str, programs.Program], record: records.AnyRecord
) -> bool:
    """Apply a record to the program it names; return whether it counted.

    Programs are added by their opening or a snapshot.
    """
    program = programs_by_id.get(record.program)
    if isinstance(record, records.ProgramSnapshot):
        return _apply_snapshot(programs_by_id, program, record)
    if program is not None:
        return program.apply(record)
    if isinstance(record, records.ProgramOpened):
        programs_by_id[record.program] = programs.Program.from_opened(record)
        return True
    return False


def _apply_snapshot(
    programs_by_id: dict[str, programs.Program],
    program: programs.Program | None,
    record: records.ProgramSnapshot,
) -> bool:
    if program is not None and not _is_newer(program, record):
        program.epoch = max(program.epoch, record.epoch)
        return False
    programs_by_id[record.program] = snapshots.restore_snapshot(record)
    return True


def _is_newer(
    program: programs.Program, record: records.ProgramSnapshot
) -> bool:
    """Tell whether a snapshot says more than what was applied so far.

    A holder's own snapshot says what it knows, so the live program stays
    the same object. A later holder's word counts even where it is shorter.
    """
    if record.epoch == program.epoch:
        return record.sequence > program.sequence
    return record.epoch > program.epoch and record.sequence != program.sequence
