"""Replay of journal segments into program state."""

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

    Duplicate segments are applied once. Records of a program without an
    opening or a snapshot are skipped: the journal no longer keeps it.
    """
    programs_by_id: dict[str, programs.Program] = {}
    seen: set[tuple[str, int]] = set()
    for segment in segments:
        segment_id = (segment.instance, segment.number)
        if segment_id in seen:
            continue
        seen.add(segment_id)
        for record in segment.records:
            if ids.find_shard(record.program) in shards:
                apply_record(programs_by_id, record)
    return programs_by_id


def apply_record(
    programs_by_id: dict[str, programs.Program], record: records.AnyRecord
) -> bool:
    """Apply a record to its program; return whether it had an effect.

    An opening or a snapshot of an unknown program adds it.
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
    """Return whether a snapshot must replace the state applied so far.

    An owner's own snapshot adds nothing to its state, so the program remains
    the same object. A later owner's snapshot wins even if it has fewer
    records.
    """
    if record.epoch == program.epoch:
        return record.sequence > program.sequence
    return record.epoch > program.epoch and record.sequence != program.sequence
