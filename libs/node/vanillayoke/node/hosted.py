"""The programs that this instance hosts, in memory and in the journal."""

import typing

from vanillayoke.core import ids
from vanillayoke.programs import opening
from vanillayoke.programs import program as programs
from vanillayoke.programs import records


class RecordSink(typing.Protocol):
    """What takes the records of a decision, in order."""

    def append(self, added: typing.Sequence[records.AnyRecord]) -> None:
        """Buffer records for the next group commit."""


class HostedPrograms:
    """Programs by id; every change goes through ``write``.

    The records of one decision are applied and handed to the journal in
    one step without an await between, so that memory and journal never
    tell different stories.
    """

    def __init__(self, journal: RecordSink) -> None:
        self._journal = journal
        self._programs: dict[str, programs.Program] = {}
        self._by_shard: dict[ids.Shard, dict[str, programs.Program]] = {}

    @property
    def known(self) -> typing.Mapping[str, programs.Program]:
        """Return all hosted programs by id."""
        return self._programs

    def find(self, program: str) -> programs.Program | None:
        """Return a hosted program."""
        return self._programs.get(program)

    def list_ancestors(
        self, program: programs.Program
    ) -> tuple[programs.Program, ...]:
        """Return the programs above one, the parent first."""
        return opening.list_ancestors(self._programs, program.parent)

    def find_root(self, program: programs.Program) -> programs.Program:
        """Return the root of a program's tree."""
        return self._programs.get(program.root, program)

    def list_family(self, root: str) -> list[programs.Program]:
        """Return a root and all programs under it."""
        shard = self._by_shard.get(ids.find_shard(root), {})
        return [one for one in shard.values() if one.root == root]

    def list_shard(self, shard: ids.Shard) -> list[programs.Program]:
        """Return the hosted programs of a shard."""
        return list(self._by_shard.get(shard, {}).values())

    def write(self, added: typing.Sequence[records.AnyRecord]) -> None:
        """Apply a decision's records and journal them."""
        for record in added:
            self._apply(record)
        if added:
            self._journal.append(added)

    def add(self, gained: typing.Iterable[programs.Program]) -> None:
        """Take over programs rebuilt from a journal."""
        for one in gained:
            self._host(one)

    def drop(
        self, shards: typing.AbstractSet[ids.Shard]
    ) -> list[programs.Program]:
        """Forget the programs of lost shards and return them."""
        lost = [
            one
            for shard in shards
            for one in self._by_shard.pop(shard, {}).values()
        ]
        for one in lost:
            del self._programs[one.id]
        return lost

    def purge(self, ended_before: float) -> int:
        """Forget programs that ended before a wall-clock time.

        One whose engine memory is not free yet stays until it is, and a
        sub-agent until its whole tree can go. Return how many went.
        """
        kept = {
            one.root
            for one in self._programs.values()
            if one.is_active
            or one.cache_targets
            or one.ended_at >= ended_before
        }
        gone = [
            one.id for one in self._programs.values() if one.root not in kept
        ]
        for program in gone:
            del self._programs[program]
            self._by_shard[ids.find_shard(program)].pop(program)
        return len(gone)

    def _host(self, program: programs.Program) -> None:
        shard = ids.find_shard(program.id)
        self._programs[program.id] = program
        self._by_shard.setdefault(shard, {})[program.id] = program

    def _apply(self, record: records.AnyRecord) -> None:
        if isinstance(record, records.ProgramOpened):
            if record.program not in self._programs:
                self._host(programs.Program.from_opened(record))
            return
        self._programs[record.program].apply(record)
