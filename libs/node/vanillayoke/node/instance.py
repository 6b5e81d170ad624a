"""One instance: its parts, built from ports, started and drained."""

import typing

from vanillayoke.cluster import messages
from vanillayoke.core import events
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.node import attempts
from vanillayoke.node import caches
from vanillayoke.node import configuration
from vanillayoke.node import directory
from vanillayoke.node import dispatcher
from vanillayoke.node import feeds
from vanillayoke.node import host
from vanillayoke.node import hosted
from vanillayoke.node import journal
from vanillayoke.node import measurements
from vanillayoke.node import members
from vanillayoke.node import operations
from vanillayoke.node import orders
from vanillayoke.node import ownership
from vanillayoke.node import parts
from vanillayoke.node import recovery
from vanillayoke.node import runs
from vanillayoke.node import services
from vanillayoke.node import surroundings
from vanillayoke.node import upkeep
from vanillayoke.platform import ports as platform_ports
from vanillayoke.platform import watching
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import retries
from vanillayoke.scheduling import scheduler
from vanillayoke.settings import configuration as settings_configuration
from vanillayoke.settings import process

StopRequest = typing.Callable[[str], None]


class Instance:
    """The composition of one process, without its HTTP server."""

    def __init__(
        self,
        settings: process.ProcessSettings,
        outside: surroundings.Surroundings,
    ) -> None:
        self._settings = settings
        self._outside = outside
        self._stop_request: StopRequest = lambda reason: None
        platform = watching.watch_platform(
            outside.platform,
            watching.Reporters(
                outside.clock, outside.logger, outside.registry
            ),
        )
        self._build_ownership(platform)
        self._build_scheduling()
        self._build_drivers(platform)
        self._build_interfaces()
        self._subscribe()

    def _build_ownership(self, platform: platform_ports.Platform) -> None:
        """Build what decides which programs are here."""
        settings, outside = self._settings, self._outside
        clock, source = outside.clock, outside.source
        self.configuration = configuration.ConfigurationHolder(
            platform.table, platform.objects, clock, self._ask_peers
        )
        self.journal = journal.Journal.from_config(
            settings, platform, clock, source, outside.logger
        )
        self.programs = hosted.HostedPrograms(self.journal)
        self.ownership = ownership.Ownership.from_config(
            settings, self.journal, platform, clock, source, outside.logger
        )
        self.members = members.Members.from_config(
            settings.instance,
            settings.probe,
            outside.transport,
            platform.instances,
            clock,
            source,
            outside.logger,
            outside.registry,
        )
        self.directory = directory.Directory(self.members, self.ownership)

    def _build_scheduling(self) -> None:
        """Build what decides where calls run."""
        settings, outside = self._settings, self._outside
        self.scheduler = scheduler.Scheduler.from_config(
            settings_configuration.PolicySettings(),
            settings.instance.zone,
            settings.instance.region,
            outside.source,
        )
        self.retries = retries.RetryBudget(
            settings_configuration.PolicySettings().retry_fraction,
            outside.source,
        )
        self.releaser = caches.CacheReleaser(
            self.programs,
            outside.adapters,
            self.ownership,
            outside.clock,
            outside.logger,
            self.scheduler,
        )
        self.dispatcher = dispatcher.Dispatcher(
            self.scheduler, outside.clock, self.releaser
        )
        self.feeds = feeds.TargetFeeds(
            self.configuration,
            outside.adapters,
            self.scheduler,
            outside.clock,
            outside.logger,
            outside.source,
            self.dispatcher.pump,
            self.releaser.reconcile,
            settings.instance.region,
        )

    def _build_drivers(self, platform: platform_ports.Platform) -> None:
        """Build what carries calls and orders out."""
        settings, outside = self._settings, self._outside
        self.parts = parts.Parts(
            clock=outside.clock,
            logger=outside.logger,
            registry=outside.registry,
            programs=self.programs,
            journal=self.journal,
            ownership=self.ownership,
            dispatcher=self.dispatcher,
            adapters=outside.adapters,
            configuration=self.configuration,
            retries=self.retries,
            exports=self.releaser.exports,
        )
        self.runner = runs.Runner(
            self.parts, services.StorePolicy(settings.store.unavailable)
        )
        self.recovery = recovery.Recovery(
            self.parts, self.runner, self.scheduler
        )
        self.orders = orders.OrderGiver.from_config(
            settings,
            platform,
            self.parts,
            self.feeds,
            outside.source,
            self._spend_writes,
        )

    def _build_interfaces(self) -> None:
        """Build what answers operators and callers."""
        self.operations = operations.Operations(
            self._settings,
            self.parts,
            self.directory,
            self.feeds,
            self._outside.operators,
            lambda reason: self._stop_request(reason),
            self._describe_store,
        )
        self.host = host.NodeHost(
            self._settings,
            self.parts,
            self.runner,
            self.directory,
            self.operations,
            self._outside.source,
        )
        self.upkeep = upkeep.Upkeep(
            self._outside.clock,
            self._outside.registry,
            self.programs,
            self.journal,
            self.directory,
            self.runner,
            self.host.expire_programs,
            self._settings.store.retention,
        )

    def _spend_writes(self, writes: int) -> None:
        self.journal.pacer.spend(self._outside.clock.now(), writes)

    def on_stop_request(self, callback: StopRequest) -> None:
        """Call back when an operator asks this instance to stop."""
        self._stop_request = callback

    async def start(self) -> None | failures.Failure:
        """Start all parts.

        A failure says that the store cannot be reached yet; all parts go
        on trying, and requests are passed on to their owners meanwhile.
        """
        self.upkeep.start()
        self.orders.start()
        await self.members.start()
        await self.configuration.start()
        failure = await self.journal.start()
        self.ownership.update_members(self.members.members())
        return await self.ownership.start() or failure

    async def drain(self, grace: float, reason: str) -> None:
        """Stop in order: be named no more, finish, hand over, close.

        What still runs at the end of the grace goes on at the instance
        that takes the programs over.
        """
        began = self._outside.clock.now()
        self._outside.logger.write(events.DRAIN_STARTED, reason=reason)
        self.host.begin_drain()
        self.members.leave()
        self.ownership.leave()
        await self._wait_for_runs(grace)
        await self.ownership.release()
        self._outside.logger.write(
            events.DRAIN_ENDED,
            seconds=round(self._outside.clock.now() - began, 3),
        )
        await self.stop()

    async def stop(self) -> None:
        """Close all parts without handing anything over."""
        self.upkeep.stop()
        self.feeds.stop()
        self.configuration.stop()
        self.releaser.stop()
        self.dispatcher.stop()
        for task in list(self.parts.tasks):
            task.cancel()
        await self.ownership.stop()
        await self.journal.stop()
        await self.members.stop()

    async def _wait_for_runs(self, grace: float) -> None:
        deadline = self._outside.clock.now() + grace
        while self.runner.count and self._outside.clock.now() < deadline:
            await self._outside.clock.sleep(_RUN_POLL)

    def _subscribe(self) -> None:
        self.configuration.subscribe(self._take_configuration)
        self.ownership.subscribe_gained(self.recovery.take_over)
        self.ownership.subscribe_lost(self._lose_shards)
        self.ownership.subscribe_fenced(self._tell_fenced)
        self.ownership.provide_programs(self.programs.list_shard)
        self.ownership.provide_may_move(self._is_idle)
        self.journal.subscribe_lost(self._lose_lease)
        counting = measurements.Measurements(
            self._outside.registry, self._is_engine
        )
        self._outside.logger.subscribe(counting.take)
        self.members.subscribe(self._take_members)
        self.members.subscribe_news(self._take_news)
        self.feeds.subscribe_leaving(self._tell_leaving)

    def _take_configuration(
        self, published: settings_configuration.PublishedConfiguration
    ) -> None:
        in_force = published.configuration
        self.scheduler.set_policy(in_force.policy)
        self.retries.set_fraction(in_force.policy.retry_fraction)
        self.scheduler.set_targets(
            [
                _make_spec(name, target)
                for name, target in in_force.targets.items()
            ]
        )
        self.scheduler.set_clients(in_force.clients)
        self.parts.start_task(self._apply_targets(in_force.targets))
        self._outside.logger.write(
            events.CONFIGURATION_IN_FORCE, version=published.version
        )
        self.members.publish_news(
            messages.ConfigurationUpdate(published.version)
        )

    async def _apply_targets(
        self,
        targets: typing.Mapping[str, settings_configuration.TargetSettings],
    ) -> None:
        await self._outside.adapters.apply(targets)
        self.feeds.update(targets)
        self.dispatcher.pump()

    async def _ask_peers(
        self,
    ) -> settings_configuration.PublishedConfiguration | None:
        """Ask a few other instances for the configuration in force."""
        others = self.directory.list_others()
        self._outside.source.shuffle(others)
        return await operations.ask_configuration(
            self._outside.operators,
            others[:_PEERS_ASKED],
            self._settings.operator_key,
        )

    def _take_members(self, found: list[messages.Member]) -> None:
        self.ownership.update_members(found)
        self.scheduler.set_instances(len(self.directory.list_usable()))

    def _take_news(self, news: messages.Update) -> None:
        match news:
            case messages.ConfigurationUpdate(version):
                self.configuration.hear(version)
            case messages.TargetUpdate(target, messages.TargetState.LEAVING):
                self.feeds.mark_leaving(target)
            case messages.FencedUpdate(incarnation=incarnation):
                self._take_fencing(incarnation)

    def _take_fencing(self, incarnation: str) -> None:
        """Stop at once where a peer saw this instance's lease taken.

        A machine that was suspended together with its clock believes in
        its lease for a while; a peer knows better, also while the store
        cannot be reached ("Bloodraven: Operator availability").
        """
        if incarnation == self.journal.incarnation:
            self.journal.give_up()

    def _tell_fenced(self, name: str, incarnation: str) -> None:
        self.members.publish_news(messages.FencedUpdate(name, incarnation))

    def _tell_leaving(self, target: str) -> None:
        self.members.publish_news(
            messages.TargetUpdate(
                target,
                messages.TargetState.LEAVING,
                int(self._outside.clock.wall() * 1000),
            )
        )

    def _lose_shards(self, shards: frozenset[ids.Shard]) -> None:
        for program in self.programs.drop(shards):
            self.runner.cancel(program, attempts.make_lost())
            self.dispatcher.forget(program.id)
            self.releaser.forget(program.id)

    def _is_engine(self, target: str) -> bool:
        settings = self.configuration.current.targets.get(target)
        return settings is not None and settings.kind == 'engine'

    def _is_idle(self, shard: ids.Shard) -> bool:
        """Tell whether no call of a shard's programs is under way."""
        return all(
            program.running is None and not program.open_run
            for program in self.programs.list_shard(shard)
        )

    def _lose_lease(self) -> None:
        self._outside.logger.write(
            events.LEASE_LOST, reason='another instance took over'
        )
        self._stop_request(LEASE_LOST)

    def _describe_store(self) -> dict[str, typing.Any]:
        return {
            'state': 'failing' if self.journal.is_failing else 'reachable',
            'uncommitted_records': self.journal.pending_records,
        }


_RUN_POLL = 0.05
_PEERS_ASKED = 3
# The reason given where the instance has to begin anew.
LEASE_LOST = 'the lease is lost'


def _make_spec(
    name: str, target: settings_configuration.TargetSettings
) -> calls.TargetSpec:
    return calls.TargetSpec(
        target=name,
        kind=target.kind,
        group=target.group,
        zone=target.zone,
        region=target.region,
        cache_tokens=target.cache_tokens,
        slots=target.slots,
    )
