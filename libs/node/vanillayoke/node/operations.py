"""Answers to operators: what runs here, why, and an orderly stop."""

import base64
import hmac
import typing

import msgspec

from vanillayoke.cluster import messages
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.core import timeline
from vanillayoke.node import feeds
from vanillayoke.node import parts
from vanillayoke.node import views
from vanillayoke.programs import program as programs
from vanillayoke.scheduling import calls
from vanillayoke.settings import configuration
from vanillayoke.settings import process

Answer = dict[str, typing.Any]
_LOCAL = 'local'


class Directory(typing.Protocol):
    """What operators ask about instances and ownership."""

    def owner_of(self, shard: int) -> str | None:
        """Return the name of the instance that should own a shard."""

    def find_member(self, instance: str) -> messages.Member | None:
        """Return a member by its instance's name."""

    def list_members(self) -> list[messages.Member]:
        """Return all members in any state."""

    def count_shards(self) -> int:
        """Return how many shards this instance owns."""


class PeerOperations(typing.Protocol):
    """Asks another instance on behalf of an operator."""

    async def ask(
        self, address: str, key: str, command: str, arguments: dict[str, str]
    ) -> Answer | failures.Failure:
        """Return the other instance's answer."""


async def ask_configuration(
    peers: PeerOperations, members: typing.Sequence[messages.Member], key: str
) -> configuration.PublishedConfiguration | None:
    """Return the first configuration that another instance gives."""
    for member in members:
        answer = await peers.ask(
            member.entry_address, key, 'configuration', {}
        )
        if failures.is_failure(answer):
            continue
        published = _decode_configuration(answer)
        if published is not None and published.version > 0:
            return published
    return None


def _decode_configuration(
    answer: Answer,
) -> configuration.PublishedConfiguration | None:
    try:
        blob = base64.b64decode(answer['published'])
        return configuration.decode_published(blob)
    except (KeyError, ValueError, msgspec.DecodeError):
        return None


class Operations:
    """Runs operators' commands on this instance.

    Questions about one program go on to its owner.
    """

    def __init__(
        self,
        settings: process.ProcessSettings,
        shared: parts.Parts,
        directory: Directory,
        target_feeds: feeds.TargetFeeds,
        peers: PeerOperations,
        request_stop: typing.Callable[[str], None],
        describe_store: typing.Callable[[], Answer],
    ) -> None:
        self._settings = settings
        self._parts = shared
        self._directory = directory
        self._feeds = target_feeds
        self._peers = peers
        self._request_stop = request_stop
        self._describe_store = describe_store

    async def run(
        self, key: str, command: str, arguments: dict[str, str]
    ) -> Answer | failures.Failure:
        """Run a command if the key is the operators'."""
        if not self._is_operator(key):
            return failures.Failure(
                failures.Kind.UNAUTHENTICATED, 'not the operator key'
            )
        match command:
            case 'status':
                return self._show_status()
            case 'programs':
                return self._list_programs()
            case 'timeline':
                return self._dump_timeline(arguments)
            case 'drain':
                return self._drain(arguments)
            case 'configuration':
                return self._give_configuration()
            case 'program' | 'explain':
                return await self._ask_owner(key, command, arguments)
        return failures.Failure(
            failures.Kind.NOT_FOUND, f'there is no command {command}'
        )

    def _is_operator(self, key: str) -> bool:
        expected = self._settings.operator_key
        return bool(expected) and hmac.compare_digest(
            expected.encode(), key.encode()
        )

    def _show_status(self) -> Answer:
        return {
            'instances': [
                self._describe_member(one)
                for one in self._directory.list_members()
            ],
            'targets': [
                self._describe_target(name)
                for name in sorted(self._parts.configuration.current.targets)
            ],
            'version': self._parts.configuration.version,
            'store': self._describe_store(),
        }

    def _describe_member(self, member: messages.Member) -> Answer:
        """Return a member; what only it knows is left out for others."""
        described: Answer = {
            'instance': member.instance,
            'zone': member.zone,
            'state': member.state.name.lower(),
            'address': member.entry_address,
        }
        if member.instance == self._settings.instance.name:
            described['config_version'] = self._parts.configuration.version
            described['shards'] = self._directory.count_shards()
            described['programs'] = len(self._parts.programs.known)
        return described

    def _describe_target(self, name: str) -> Answer:
        report = self._feeds.find_report(name)
        settings = self._parts.configuration.current.targets[name]
        return {
            'target': name,
            'kind': settings.kind,
            'state': 'healthy' if self._feeds.is_healthy(name) else 'failed',
            'running': report.running if report else 0,
            'waiting': report.waiting if report else 0,
            'leaving': bool(report and report.leaving),
        }

    def _give_configuration(self) -> Answer:
        published = self._parts.configuration.published
        blob = configuration.encode_published(published)
        return {'published': base64.b64encode(blob).decode()}

    def _list_programs(self) -> Answer:
        return {
            'programs': [
                {
                    'program': one.id,
                    'client': one.client,
                    'agent': one.agent,
                    'state': one.end_reason or str(one.state),
                    'calls': len(one.calls),
                    'waiting_for': views.describe_wait(one),
                }
                for one in self._parts.programs.known.values()
            ]
        }

    def _dump_timeline(self, arguments: dict[str, str]) -> Answer:
        kept = timeline.Filter(
            program=arguments.get('program', ''),
            target=arguments.get('target', ''),
            instance=arguments.get('instance', ''),
        )
        return dict(self._parts.logger.timeline.dump(kept))

    def _drain(self, arguments: dict[str, str]) -> Answer | failures.Failure:
        name = self._settings.instance.name
        if arguments.get('instance', name) != name:
            return failures.Failure(
                failures.Kind.BAD_REQUEST, f'this instance is {name}'
            )
        self._request_stop('an operator asked for it')
        return {'instance': name, 'state': 'draining'}

    async def _ask_owner(
        self, key: str, command: str, arguments: dict[str, str]
    ) -> Answer | failures.Failure:
        program = arguments.get('program', '')
        found = self._parts.programs.find(program)
        if found is not None:
            return self._answer_of_program(command, found)
        owner = self._directory.owner_of(ids.find_shard(program))
        member = self._directory.find_member(owner) if owner else None
        is_here = owner == self._settings.instance.name
        if member is None or is_here or _LOCAL in arguments:
            return failures.Failure(
                failures.Kind.NOT_FOUND, 'there is no such program'
            )
        passed = {**arguments, _LOCAL: 'true'}
        return await self._peers.ask(
            member.entry_address, key, command, passed
        )

    def _answer_of_program(
        self, command: str, program: programs.Program
    ) -> Answer:
        if command == 'explain':
            placements = self._parts.dispatcher.list_placements(program.id)
            return {
                'program': program.id,
                'placements': [_describe_placement(one) for one in placements],
            }
        view = views.make_view(program, self._settings.instance.name)
        return {
            'program': program.id,
            'steps': [
                {
                    'number': call.number,
                    'kind': call.kind.value,
                    'name': call.name,
                    'state': str(call.state),
                    'target': call.target,
                    'error': call.error,
                }
                for call in program.calls
            ],
            'budget': view['budget'],
            'spent': view['spent'],
            'waiting_for': views.describe_wait(program),
        }


def _describe_placement(placement: calls.Placement) -> Answer:
    return {
        'call': placement.call.rpartition('/')[0].rpartition('/')[2],
        'target': placement.target,
        'weighed': [one._asdict() for one in placement.weighed],
    }
