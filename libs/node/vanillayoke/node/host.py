"""The process behind the callers' interface: programs that live here."""

import random
import typing

from vanillayoke.cluster import messages
from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.entry import host
from vanillayoke.node import operations
from vanillayoke.node import parts
from vanillayoke.node import runs
from vanillayoke.node import views
from vanillayoke.programs import endings
from vanillayoke.programs import opening
from vanillayoke.programs import program as programs
from vanillayoke.programs import records
from vanillayoke.settings import configuration
from vanillayoke.settings import process

EXPIRED = 'expired'
# A running call's own deadline gives the better answer, so it comes first.
_EXPIRY_GRACE = 2.0
_MOVING_RETRY = 0.5
_OTHER_ADDRESSES = 3
_NOT_FOUND = failures.Failure(
    failures.Kind.NOT_FOUND, 'there is no such program'
)


class MemberDirectory(typing.Protocol):
    """Who owns what and who is there."""

    def owner_of(self, shard: int) -> str | None:
        """Return the name of the instance that should own a shard."""

    def find_member(self, instance: str) -> messages.Member | None:
        """Return a member by its instance's name."""

    def list_usable(self) -> list[messages.Member]:
        """Return the members that callers may use."""


class NodeHost(host.Host):
    """Answers callers for the programs of this instance's shards."""

    def __init__(
        self,
        settings: process.ProcessSettings,
        shared: parts.Parts,
        runner: runs.Runner,
        directory: MemberDirectory,
        operator: operations.Operations,
        source: random.Random,
    ) -> None:
        self._settings = settings
        self._parts = shared
        self._runner = runner
        self._directory = directory
        self._operator = operator
        self._source = source
        self._draining = False

    def begin_drain(self) -> None:
        """Take no new programs and calls from now on."""
        self._draining = True

    def find_client(self, key: str) -> str | failures.Failure:
        if self._parts.configuration.version == 0:
            # Started in an outage of the store: every key would look wrong,
            # and a caller told so would not come back.
            return failures.Failure(
                failures.Kind.NOT_OWNER, 'no configuration yet', _MOVING_RETRY
            )
        client = self._parts.configuration.find_client(key)
        if client is None:
            return failures.Failure(
                failures.Kind.UNAUTHENTICATED, 'the key is not known'
            )
        return client

    def list_addresses(self, program: str) -> host.AddressList:
        """Return the owner first, then others, other zones among them.

        The order of the others is drawn anew each time, so that callers
        spread over all instances without anybody counting them.
        """
        usable = self._directory.list_usable()
        self._source.shuffle(usable)
        usable.sort(key=lambda one: one.region != self._region)
        chosen = _spread_zones(usable)[:_OTHER_ADDRESSES]
        owner = self._find_owner(program) if program else None
        if owner is not None:
            chosen = [owner, *(one for one in chosen if one != owner)]
        return host.AddressList(
            tuple(
                host.EntryAddress(one.entry_address, one.instance, one.zone)
                for one in chosen
            ),
            self._settings.entry.address_lifetime,
        )

    @property
    def _region(self) -> str:
        return self._settings.instance.region

    def _find_owner(self, program: str) -> messages.Member | None:
        owner = self._directory.owner_of(ids.find_shard(program))
        return self._directory.find_member(owner) if owner else None

    async def locate(
        self, program: str
    ) -> host.Elsewhere | None | failures.Failure:
        shard = ids.find_shard(program)
        if self._parts.ownership.held_epoch(shard) is not None:
            return None
        owner = self._find_owner(program)
        if owner is None or owner.instance == self._settings.instance.name:
            return _make_moving()
        return host.Elsewhere(owner.instance, owner.entry_address)

    async def open_program(
        self, client: str, request: host.OpenRequest
    ) -> host.ProgramView | failures.Failure:
        opened = self._make_opened(client, request)
        if failures.is_failure(opened):
            return opened
        hosted = self._parts.programs
        # A repeated key is answered from the history; only of a new one is
        # it true that nothing was done.
        if self._draining and hosted.find(opened.program) is None:
            return _make_draining()
        above = opening.list_ancestors(hosted.known, opened.parent)
        if above:
            opened = opening.clamp_child(opened, above)
        decided = opening.open_program(
            hosted.find(opened.program),
            opened,
            above,
            self._parts.clock.wall(),
        )
        if failures.is_failure(decided):
            return decided
        if isinstance(decided, list):
            hosted.write(decided)
            self._parts.logger.write(
                events.PROGRAM_OPENED,
                program=opened.program,
                client=client,
                agent=request.agent,
            )
        return await self._answer_durably(hosted.find(opened.program))

    async def start_call(
        self, client: str, program: str, request: host.CallRequest
    ) -> host.CallStream | failures.Failure:
        found = self._find(client, program)
        if failures.is_failure(found):
            return found
        known = found.find_key(request.key)
        if self._draining and known is None:
            return _make_draining()
        epoch = self._find_epoch(found)
        if epoch is None:
            return _make_moving()
        return self._runner.start(found, request, epoch)

    async def find_call(
        self, client: str, program: str, number: int
    ) -> host.CallStream | failures.Failure:
        found = self._find(client, program)
        if failures.is_failure(found):
            return found
        return self._runner.join(found, number)

    async def view_program(
        self, client: str, program: str
    ) -> host.ProgramView | failures.Failure:
        found = self._find(client, program)
        return found if failures.is_failure(found) else self._view(found)

    async def read_history(
        self, client: str, program: str, after: int, limit: int
    ) -> list[host.HistoryEntry] | failures.Failure:
        found = self._find(client, program)
        if failures.is_failure(found):
            return found
        return views.list_history(found, after, limit)

    async def cancel_call(
        self, client: str, program: str
    ) -> host.ProgramView | failures.Failure:
        found = self._find(client, program)
        if failures.is_failure(found):
            return found
        epoch = self._find_epoch(found)
        if epoch is None:
            return _make_moving()
        failure = failures.Failure(
            failures.Kind.CANCELLED, 'its client cancelled it'
        )
        above = self._parts.programs.list_ancestors(found)
        stopped = endings.cancel_call(found, above, failure, epoch)
        self._parts.programs.write(stopped)
        self._runner.cancel(found, failure)
        return await self._answer_durably(found)

    async def end_program(
        self, client: str, program: str, key: str
    ) -> host.ProgramView | failures.Failure:
        found = self._find(client, program)
        if failures.is_failure(found):
            return found
        epoch = self._find_epoch(found)
        if epoch is None:
            return _make_moving()
        self._end_tree(found, 'ended', epoch)
        return await self._answer_durably(found)

    async def run_operator_command(
        self, key: str, command: str, arguments: dict[str, str]
    ) -> dict[str, typing.Any] | failures.Failure:
        return await self._operator.run(key, command, arguments)

    def expire_programs(self) -> None:
        """End programs whose deadline has passed.

        A client that went away never ends its program; it would hold
        engine memory and its place among the programs for ever.
        """
        due = self._parts.clock.wall() - _EXPIRY_GRACE
        expired = [
            one
            for one in self._parts.programs.known.values()
            if one.is_active and not one.parent and due >= one.deadline
        ]
        for program in expired:
            shard = ids.find_shard(program.id)
            epoch = self._parts.ownership.epoch_of(shard)
            if epoch is not None:
                self._end_tree(program, EXPIRED, epoch)

    def _end_tree(
        self, program: programs.Program, reason: str, epoch: int
    ) -> None:
        hosted = self._parts.programs
        family = hosted.list_family(program.root)
        ended = endings.end_tree(
            {one.id: one for one in family},
            program,
            reason,
            epoch,
            self._parts.clock.wall(),
        )
        hosted.write(ended)
        for record in ended:
            if isinstance(record, records.ProgramEnded):
                self._finish_ended(hosted.find(record.program))

    def _finish_ended(self, program: programs.Program) -> None:
        failure = failures.Failure(
            failures.Kind.PROGRAM_ENDED, f'ended: {program.end_reason}'
        )
        self._runner.cancel(program, failure)
        self._parts.dispatcher.end(program.id)
        self._parts.exports.pop(program.id, None)
        self._parts.logger.write(
            events.PROGRAM_ENDED,
            program=program.id,
            client=program.client,
            seconds=round(program.ended_at - program.opened_at, 3),
            calls=len(program.calls),
        )

    def _find(
        self, client: str, program: str
    ) -> programs.Program | failures.Failure:
        """Return a client's program; another's looks like an absent one."""
        found = self._parts.programs.find(program)
        if found is None and not self._holds(program):
            return _make_moving()
        if found is None or found.client != client:
            return _NOT_FOUND
        return found

    def _holds(self, program: str) -> bool:
        shard = ids.find_shard(program)
        return self._parts.ownership.held_epoch(shard) is not None

    def _find_epoch(self, program: programs.Program) -> int | None:
        return self._parts.ownership.held_epoch(ids.find_shard(program.id))

    async def _answer_durably(
        self, program: programs.Program
    ) -> host.ProgramView | failures.Failure:
        """Return a program's state once all that led to it is durable."""
        failure = await self._parts.journal.flush()
        if failures.is_failure(failure):
            # The records are in the journal's buffer and may yet become
            # durable: only a kind that does not say "not run" is true.
            return failures.Failure(
                failures.Kind.STORE_UNCERTAIN, failure.reason, 1.0
            )
        return self._view(program)

    def _view(self, program: programs.Program) -> host.ProgramView:
        return views.make_view(program, self._settings.instance.name)

    def _make_opened(
        self, client: str, request: host.OpenRequest
    ) -> records.ProgramOpened | failures.Failure:
        in_force = self._parts.configuration.current
        agent = in_force.agents.get(request.agent)
        allowed = in_force.clients[client].agents
        if agent is None or (allowed and request.agent not in allowed):
            return failures.Failure(
                failures.Kind.UNKNOWN_AGENT,
                f'there is no agent {request.agent}',
            )
        program = (
            ids.derive_child_id(request.parent, request.key)
            if request.parent
            else ids.derive_program_id(client, request.key)
        )
        epoch = self._parts.ownership.held_epoch(ids.find_shard(program))
        if epoch is None:
            return _make_moving()
        now = self._parts.clock.wall()
        return records.ProgramOpened(
            program,
            epoch,
            client=client,
            agent=request.agent,
            key=request.key,
            fingerprint=request.fingerprint,
            budget=_choose_budget(request, agent.budget),
            deadline=now + request.deadline,
            urgent=request.urgent,
            opened_at=now,
            parent=request.parent,
            root=ids.find_root(program),
            config_version=self._parts.configuration.version,
        )


def _choose_budget(
    request: host.OpenRequest, default: configuration.BudgetSettings
) -> records.Budget:
    """Return what was asked for, at most the agent's own budget."""
    return records.Budget(
        tokens=_cap(request.tokens, default.tokens),
        calls=_cap(request.calls, default.calls),
        seconds=_cap(request.seconds, default.seconds),
        money=_cap(request.money, default.money),
    )


def _cap(asked: typing.Any, default: typing.Any) -> typing.Any:
    return default if asked is None else min(asked, default)


def _spread_zones(
    members: typing.Sequence[messages.Member],
) -> list[messages.Member]:
    """Return members with one of each zone first, in their order."""
    first: dict[tuple[str, str], messages.Member] = {}
    for one in members:
        first.setdefault((one.region, one.zone), one)
    firsts = list(first.values())
    return firsts + [one for one in members if one not in firsts]


def _make_moving() -> failures.Failure:
    return failures.Failure(
        failures.Kind.NOT_OWNER, 'the program is moving', _MOVING_RETRY
    )


def _make_draining() -> failures.Failure:
    return failures.Failure(
        failures.Kind.DRAINING, 'the instance is stopping', _MOVING_RETRY
    )
