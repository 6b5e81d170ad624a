"""A gateway instance: construction, startup and graceful shutdown."""

import asyncio
import functools
import random
import typing

from vanillayoke.core import decoding
from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import metrics
from vanillayoke.core import supervision
from vanillayoke.core import timers
from vanillayoke.gateway import access as access_module
from vanillayoke.gateway import calls
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import connection_limits
from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import endpoints
from vanillayoke.gateway import exclusivity as exclusivity_module
from vanillayoke.gateway import first_start
from vanillayoke.gateway import health_gossip
from vanillayoke.gateway import histories
from vanillayoke.gateway import instrumentation
from vanillayoke.gateway import ledger as ledger_module
from vanillayoke.gateway import limit_accounts
from vanillayoke.gateway import limits as limits_module
from vanillayoke.gateway import load_queries
from vanillayoke.gateway import members as members_module
from vanillayoke.gateway import memory_limit
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import permits
from vanillayoke.gateway import program_admission
from vanillayoke.gateway import quarantine
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import reservations as reservations_module
from vanillayoke.gateway import response_ends
from vanillayoke.gateway import resumptions as resumptions_module
from vanillayoke.gateway import retention
from vanillayoke.gateway import shutdown
from vanillayoke.gateway import slot_queues
from vanillayoke.gateway import slot_requests
from vanillayoke.gateway import store as store_module
from vanillayoke.gateway import stream_replicas
from vanillayoke.gateway import stream_texts
from vanillayoke.gateway import suspects
from vanillayoke.gateway import sweeping
from vanillayoke.gateway import table_sync
from vanillayoke.gateway import target_ends
from vanillayoke.gateway import version_gossip
from vanillayoke.gateway import zone_loads
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import shared_health
from vanillayoke.scheduling import software_versions
from vanillayoke.transport import client
from vanillayoke.transport import datagrams
from vanillayoke.transport import pools
from vanillayoke.transport import server

# Targets are a millisecond away. One that accepts no connection in this time
# is down or has a full queue.
CONNECT_TIMEOUT_SECONDS = 0.4
MAINTENANCE_INTERVAL_SECONDS = 0.25
# Relative to the first peer port, which receives datagrams.
RELAY_PORT_OFFSET = 1
# Of the memory limit, for one response that is held as a whole. Several may be
# held at a time, each in two copies.
MAX_BODY_RATIO = 1 / 16


class Instance:
    """A gateway instance."""

    def __init__(
        self,
        settings: messages.Settings,
        dialect: dialect_module.Dialect,
        timer_service: timers.TimerService,
        log: logs.Logger,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self._dialect = dialect
        self._timers = timer_service
        self._log = log
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self._started_at = timer_service.now()
        self.is_draining = False
        self._shutdown = shutdown.Shutdown()
        self.metrics = metrics_module.Metrics()
        self._instrumentation = instrumentation.Instrumentation(
            log, self.metrics, timer_service
        )
        self._supervisor = supervision.Supervisor(
            timer_service, self._instrumentation.record_task_failure
        )
        self._make_components()
        self._make_cluster_components()
        self._make_servers()
        self._table_sync = table_sync.TableSync(
            self._store,
            dialect,
            self._catalog,
            self._members,
            timer_service,
            log,
            settings.bounds,
            self._handle_target_restart,
            self._access.record_confirmation,
            self._version_gossip.publish,
            self._software_versions,
            self._instrumentation.count_rejected_message,
            self._supervisor,
        )

    @classmethod
    def from_config(
        cls,
        settings: messages.Settings,
        dialect: dialect_module.Dialect,
        timer_service: timers.TimerService,
        log: logs.Logger,
    ) -> typing.Self:
        """Create an instance from settings."""
        return cls(
            settings, dialect, timer_service, log, random.SystemRandom()
        )

    @property
    def is_isolated(self) -> bool:
        """Whether the store and most other instances are unreachable.

        Callers should then use another instance.
        """
        return self._store.is_unavailable and self._members.is_in_minority

    @property
    def is_ready(self) -> bool:
        """Whether the instance can take requests."""
        return (
            not self.is_draining
            and not self.is_isolated
            and self._first_start.is_decided
            and self._suspects.is_loaded
            and self._catalog.configuration is not None
            and self._catalog.has_read_targets
        )

    async def start(self) -> None:
        """Start listening, and start to synchronise with the store."""
        host, _, port = self._peer_address.rpartition(':')
        sender = await datagrams.DatagramSocket.bind(
            host,
            int(port),
            self._peers.receive,
            lambda: self.metrics.datagrams_unsent.add(1),
        )
        self._peers.set_sender(sender)
        self._sender = sender
        self._connection_limits.check()
        for http_server, address in self._listeners:
            host, _, port = address.rpartition(':')
            await http_server.listen(host, int(port))
        self._table_sync.start(self._spawn)
        self._spawn(self._suspects.load())
        self._spawn(self._join())
        self._maintenance_timer = self._timers.call_every(
            MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance
        )
        self._tick_timer = self._timers.call_every(
            reservations_module.TICK_INTERVAL_SECONDS, self._update_exclusivity
        )
        self._version_timer = self._version_gossip.start()
        self._zone_loads_timer = self._zone_loads.start()

    async def stop(self) -> None:
        """Drain and shut down within the grace period.

        Nothing that handlers use is closed before the last one has ended.
        """
        schedule = shutdown.Schedule.from_config(
            self.settings.bounds, self._timers.now()
        )
        self._leave(schedule)
        await self._reservations.hand_over()
        await self._timers.sleep(
            max(0.0, schedule.accept_until - self._timers.now())
        )
        await self._finish_requests(schedule)
        await self._hand_over_state(schedule)
        # Also waits for callers that read the end of a response slowly.
        await shutdown.finish_requests(
            [http_server for http_server, _ in self._listeners],
            self._timers,
            schedule.end_by,
        )
        self._log.write(
            log_events.DRAIN_ENDED,
            seconds=self._compute_draining_seconds(),
        )
        self._close()

    def _leave(self, schedule: shutdown.Schedule) -> None:
        """Send callers and other instances elsewhere."""
        self.is_draining = True
        self._shutdown.start(schedule)
        self._log.write(log_events.DRAIN_STARTED, reason='stop requested')
        for http_server in self._request_servers:
            http_server.drain()
        self._members.leave()
        self._slot_queues.leave()
        self._reservations.is_leaving = True

    async def _finish_requests(self, schedule: shutdown.Schedule) -> None:
        """Accept no more requests, and wait until the last one has ended."""
        self._shutdown.stop_accepting()
        self._log.write(
            log_events.DRAIN_CLOSED,
            seconds=self._compute_draining_seconds(),
            active=self._caller_server.active_connections,
        )
        interrupted = await shutdown.finish_requests(
            self._request_servers, self._timers, schedule.finish_until
        )
        self._log.write(
            log_events.DRAIN_REQUESTS_ENDED,
            seconds=self._compute_draining_seconds(),
            interrupted=interrupted,
        )

    async def _hand_over_state(self, schedule: shutdown.Schedule) -> None:
        self._reservations.close()
        await self._reservations.hand_over()
        await self._ledger.return_grants(schedule.end_by)
        self._members.depart()

    def _compute_draining_seconds(self) -> float:
        return round(self._shutdown.find_age(self._timers.now()) or 0.0, 2)

    def render_metrics(self) -> metrics.Page:
        """Render all metrics in the Prometheus text format."""
        self.metrics.set_members(self._members.list_members())
        return self.metrics.render()

    # Construction

    def _make_components(self) -> None:
        settings = self.settings
        random_float = self._rng.random
        self._catalog = catalog_module.Catalog()
        self._software_versions = software_versions.SoftwareVersions()
        self._access = access_module.Access(
            lambda: self.settings.bounds, self._timers
        )
        self._store = store_module.StoreClient(
            settings.store,
            self._dialect,
            self._timers,
            random_float,
            self._list_relays,
            store_module.Observer(
                self._record_store_call,
                self._record_store_state,
                self._record_rejected_response,
            ),
        )
        self._ledger = ledger_module.Ledger(
            settings.instance,
            self._store,
            self._timers,
            self._make_write_id,
            self._instrumentation.record_budget_decision,
            self._get_retention,
        )
        self._memory_limit = memory_limit.MemoryLimit(
            settings, self._timers, self._log, self.metrics
        )
        self._histories = histories.Histories(
            self._store,
            self._timers,
            self._get_retention,
            self._memory_limit.account,
        )
        self._memory_limit.set_cache(self._clear_caches)
        health = shared_health.SharedHealth(settings.instance, random_float)
        self._health_gossip = health_gossip.HealthGossip(
            settings.instance,
            health,
            lambda: self._members.list_eligible(),
            self._timers,
            self._rng,
            self._instrumentation,
        )
        self._occupancy = occupancy.Occupancy(
            health,
            self._health_gossip.count_instances,
            self._health_gossip.publish,
        )
        self._pool = pools.Pool(
            CONNECT_TIMEOUT_SECONDS,
            self._instrumentation.record_connection,
            self._memory_limit.account,
            _compute_max_body(settings.memory_limit),
        )

    def _make_cluster_components(self) -> None:
        settings = self.settings
        first_port = settings.peer_ports[0]
        self._peer_address = f'{settings.ip}:{first_port}'
        self._relay_address = f'{settings.ip}:{first_port + RELAY_PORT_OFFSET}'
        incarnation = int(self._timers.wall() * 1000)
        self._row = messages.InstanceRow(
            instance=settings.instance,
            incarnation=incarnation,
            zone=settings.zone,
            region=settings.region,
            front=settings.front,
            peer=self._peer_address,
        )
        self._exclusivity = exclusivity_module.Exclusivity(
            settings.instance, self._started_at
        )
        self._first_start = first_start.FirstStart(
            settings.is_first_start, self._row, self._store, self._timers
        )
        membership_view = rendezvous.MembershipView(
            lambda: self._members.list_eligible(),
            lambda: self._members.list_live_eligible(),
            lambda: self._members.list_reachable(),
            lambda: self._members.list_lost(),
        )
        self._reservations = reservations_module.Reservations(
            settings.instance,
            self._ledger,
            membership_view,
            self._timers,
            self._spawn,
            self._exclusivity,
            self._instrumentation.record_credit_grant,
        )
        self._load_queries = load_queries.LoadQueries(
            settings.instance,
            lambda: self._members.list_eligible(),
            self._timers,
            settings.has_feature(
                messages.Feature.COMPLETION_TIME, reports_contention=True
            ),
            self._instrumentation.record_malformed_report,
        )
        self._slot_queues = slot_queues.SlotQueues(
            self._has_slot_queues,
            self._load_queries,
            self._catalog,
            self._occupancy,
            self._timers,
            self.metrics,
            self._log,
        )
        self._slot_requests = slot_requests.SlotRequests(
            settings.instance,
            incarnation,
            self._has_slot_queues,
            self._slot_queues,
            self._load_queries,
            self._catalog,
            self._occupancy,
            self._timers,
            self.metrics,
            self._log,
        )
        self._zone_loads = zone_loads.ZoneLoads(
            lambda: self.settings,
            incarnation,
            zone_loads.TargetView(
                self._catalog,
                self._occupancy,
                self._load_queries,
                self._load_queries.get_relative_capacity,
                self._load_queries.performance.reports_contention,
            ),
            lambda: self._members.list_eligible(),
            self._timers,
            self._rng.random,
            self._log,
            self.metrics,
        )
        self._version_gossip = version_gossip.VersionGossip(
            self._row,
            self._relay_address,
            self._dialect.configuration_table,
            self._store,
            lambda: self._members.list_eligible(),
            self._timers,
            self._rng,
            self._spawn,
            lambda: self._catalog.version,
            lambda page: self._table_sync.apply_configuration(page),
        )
        tolerance = settings.bounds.limits
        self._limit_accounts = limit_accounts.LimitAccounts(
            tolerance.window,
            self._store,
            self._timers,
            self._spawn,
            lambda: self._members.compute_lost_ratio(tolerance.window),
            lambda: (
                self._reservations.is_leaving
                and bool(membership_view.list_eligible())
            ),
            settings.has_feature(messages.Feature.ROUTE_PRIORITY),
        )
        self._limits = limits_module.Limits(
            settings.instance,
            incarnation,
            tolerance,
            membership_view,
            self._limit_accounts,
            self._timers,
            self._spawn,
            lambda: self._catalog.version,
            lambda: (
                self._members.is_in_minority or self._members.has_lost_contact
            ),
            self._rng.random,
        )
        self._program_admission = program_admission.ProgramAdmission(
            lambda: self.settings,
            self._zone_loads,
            self._reservations,
            self._limits,
            lambda: self._members.list_eligible(),
            lambda: self._members.incarnation,
            self._timers,
            self._rng.random,
            self._log,
            self.metrics,
        )
        self._stream_replicas = stream_replicas.StreamReplicas(
            settings.instance, membership_view
        )
        self._resumptions = resumptions_module.Resumptions(
            self._catalog,
            self._software_versions,
            lambda seconds: self._table_sync.confirm(seconds),
            self._stream_replicas,
            self._timers,
            self._log,
            self.metrics,
        )
        self._stream_texts = stream_texts.StreamTexts(
            self._stream_replicas,
            self._timers,
            self._log,
            self._memory_limit.account,
        )
        self._suspects = suspects.Suspects(
            settings.instance,
            self._store,
            membership_view,
            self._timers,
            self._rng,
            self._spawn,
            self._log,
            self.metrics,
            self._instrumentation.count_rejected_message,
            lambda fingerprint: self._permits.notify_waiting(fingerprint),
        )
        self._permits = permits.Permits(
            settings.instance,
            self._suspects,
            membership_view,
            self._timers,
            self._spawn,
            self._log,
        )
        self._response_ends = response_ends.ResponseEnds(
            self._pool,
            self._catalog,
            self._dialect,
            self._timers,
            settings.bounds.target_drain_timeout,
            self._spawn,
            self._log,
            self.metrics,
        )
        self._target_ends = target_ends.TargetEnds(
            self._pool,
            self._catalog,
            self._timers,
            self._spawn,
            self._log,
            self.metrics,
            lambda attempt: self._quarantine.record_crash(attempt),
        )
        self._quarantine = quarantine.Quarantine(
            settings.instance,
            self._suspects,
            self._permits,
            self._target_ends,
            self._catalog,
            self._timers,
            self._spawn,
            self._log,
        )
        self._peers = peers_module.Peers(
            self._timers,
            self._handle_peer_request,
            lambda data, sender: self._members.receive(data, sender),
            self._health_gossip.receive,
            self._handle_notification,
            self._version_gossip.receive,
            incarnation,
            self._record_dropped_datagram,
            self._instrumentation.record_failure,
        )
        self._version_gossip.set_peers(self._peers)
        self._limits.set_peers(self._peers)
        self._reservations.set_peers(self._peers)
        self._load_queries.set_peers(self._peers)
        self._slot_requests.set_peers(self._peers)
        self._zone_loads.set_peers(self._peers)
        self._program_admission.set_peers(self._peers)
        self._stream_replicas.set_peers(self._peers)
        self._health_gossip.set_peers(self._peers)
        self._suspects.set_peers(self._peers)
        self._permits.set_peers(self._peers)
        self._members = members_module.Members(
            self._row,
            self._timers,
            self._rng,
            self._peers.send_membership,
            self._instrumentation.record_member_change,
        )

    def _make_servers(self) -> None:
        context = context_module.Context(
            self.settings,
            self._dialect,
            self._timers,
            self._catalog,
            self._access,
            self._limits,
            self._occupancy,
            self._pool,
            self._store,
            self._reservations,
            self._load_queries,
            self._slot_requests,
            self._histories,
            self._log,
            self.metrics,
            self._spawn,
            self._rng.random,
            lambda: self.is_isolated,
            self._zone_loads,
            self._memory_limit,
            self._program_admission,
            self._resumptions,
            self._stream_texts,
            self._shutdown,
            self._first_start,
            self._quarantine,
            self._response_ends,
            lambda: self.settings,
            self._instrumentation.record_failure,
        )
        handler = calls.CallHandler(context)
        self._endpoints = endpoints.Endpoints(
            self.settings.instance,
            self._dialect,
            self._members,
            self._store,
            self._rng,
            lambda: self.is_ready,
            lambda: self.is_isolated,
            self._supervisor.list_failing,
        )
        self._connection_limits = connection_limits.ConnectionLimits(
            self.settings.descriptor_limit,
            self._timers,
            self._log,
            self.metrics,
        )
        self._caller_server = self.make_server(
            handler.handle, connection_limits.Listener.CALLERS
        )
        relay_server = self.make_server(
            self._endpoints.handle_relay, connection_limits.Listener.RELAY
        )
        readiness_server = self.make_server(
            self._endpoints.handle_readiness,
            connection_limits.Listener.READINESS,
        )
        directory_server = self.make_server(
            self._endpoints.handle_lookup,
            connection_limits.Listener.DIRECTORY,
        )
        # Their handlers may wait for targets, other instances or the store.
        self._request_servers = [self._caller_server, relay_server]
        self._listeners = [
            (self._caller_server, self.settings.front),
            (readiness_server, self.settings.ready),
            (directory_server, self.settings.directory),
            (relay_server, self._relay_address),
        ]

    def make_server(
        self,
        handler: server.Handler,
        listener: connection_limits.Listener,
    ) -> server.HttpServer:
        """Return a server that shares the instance's limits."""
        return server.HttpServer(
            handler,
            self._instrumentation.record_failure,
            self._instrumentation.record_refused_connection,
            self._memory_limit.account,
            self._memory_limit.record_refused_body,
            self._memory_limit.record_stalled_caller,
            self._connection_limits.get_share(listener),
            functools.partial(self._connection_limits.record, listener),
        )

    # Other instances

    def _handle_peer_request(
        self, request: peer_messages.Request
    ) -> typing.Any:
        match request:
            case peer_messages.LoadQuery():
                return self._load_queries.handle_request(request)
            case peer_messages.UsageReport():
                return self._limit_accounts.handle_request(request)
            case peer_messages.SlotRequest():
                return self._slot_queues.handle_request(request)
            case peer_messages.ProgramQuery():
                return self._program_admission.handle_query(request)
            case peer_messages.OriginQuery():
                return self._resumptions.handle_query(request)
            case peer_messages.VersionQuery():
                return self._resumptions.handle_version_query(request)
            case peer_messages.TextQuery():
                return self._stream_texts.handle_query(request)
            case peer_messages.SuspectQuery():
                return self._permits.handle_query(request)
            case peer_messages.TargetQuery():
                return self._permits.handle_target_query(request)
        return self._reservations.handle_request(request)

    def _has_slot_queues(self) -> bool:
        return self.settings.has_feature(messages.Feature.SLOT_QUEUE)

    def _handle_notification(
        self, notification: peer_messages.Notification
    ) -> None:
        match notification:
            case peer_messages.SlotCancelled():
                self._slot_queues.handle_cancelled(notification)
            case peer_messages.TargetLoads() | peer_messages.ZoneLoads():
                self._zone_loads.receive(notification)
            case peer_messages.ProgramRefused():
                self._program_admission.receive(notification)
            case peer_messages.StreamBegun():
                self._resumptions.receive(notification)
            case peer_messages.StreamText():
                self._stream_texts.receive(notification)
            case peer_messages.SuspectReport():
                self._suspects.receive(notification)
            case _:
                self._load_queries.handle(notification)

    def _clear_caches(self) -> None:
        self._histories.clear_cache()
        self._stream_texts.clear()

    def _list_relays(self) -> list[str]:
        own_name = self.settings.instance
        return [
            relay
            for member in self._members.list_live()
            if member.instance != own_name
            and (relay := get_relay_address(member.peer_address)) is not None
        ]

    # Background

    async def _join(self) -> None:
        """Join the other instances once the store's tables are loaded."""
        await self._decide_first_start()
        await self._table_sync.wait_until_loaded()
        self._members.start()
        self._exclusivity.record_joined(self._timers.now())
        self._apply_caller_limits()
        ms = round((self._timers.now() - self._started_at) * 1000)
        self._log.write(log_events.GATEWAY_READY, ms=ms)
        await self._supervisor.run(
            'publication',
            lambda: self._table_sync.publish_instance(self._row),
        )
        sweeper = sweeping.Sweeper(
            self.settings.instance,
            self._store,
            self._catalog,
            self._members.list_eligible,
            self._timers,
            self.settings.bounds.limits.window,
            lambda table, count: self.metrics.removed_rows.add(
                count, table=table
            ),
        )
        await self._supervisor.run('sweeping', sweeper.run)

    async def _decide_first_start(self) -> None:
        if self._first_start.is_decided:
            return
        state = await self._first_start.decide()
        if state is first_start.State.CONFIRMED:
            self._software_versions.record_first_start()
            self._exclusivity.record_first_start()
            self._members.record_first_start()
            self._program_admission.record_first_start()
        self._log.write(log_events.FIRST_START_DECIDED, state=state.value)

    def _update_exclusivity(self) -> None:
        """Check for interruptions of this instance.

        During one, another instance may have coordinated its programs.
        """
        now = self._timers.now()
        self._exclusivity.tick(
            now, self._timers.wall(), reservations_module.TICK_INTERVAL_SECONDS
        )
        self._exclusivity.update_incarnation(self._members.incarnation, now)
        eligible = self._members.list_eligible()
        self._exclusivity.update_members(
            (member.instance for member in eligible), now
        )

    def _run_maintenance(self) -> None:
        now = self._timers.now()
        for target in self._catalog.expire(now):
            self._software_versions.record_use(
                target.service, target.software_version, now
            )
            self._log.write(log_events.SERVER_EXPIRED, target=target.name)
        self._apply_caller_limits()
        self._memory_limit.update_metrics()
        self._pool.prune()
        self._store.prune()
        self._reservations.prune()
        self._limits.prune()
        self._limit_accounts.prune()
        self._program_admission.maintain()
        self._resumptions.prune()
        self._stream_texts.prune()
        self._suspects.maintain()
        self._permits.maintain()
        self._target_ends.prune()
        self._occupancy.retain(self._catalog.target_names)
        self._slot_queues.retain(self._catalog.target_names)
        self._load_queries.retain(self._catalog.target_names)

    def _handle_target_restart(self, target: messages.Target) -> None:
        """Discard connections to a target's previous process, and its state.

        Its health, load and latency do not apply to the new process.
        """
        self._pool.drop(target.address)
        self._occupancy.handle_restart(target.name)
        self._load_queries.handle_restart(target.name)
        self._slot_queues.handle_restart(target.name)
        self._target_ends.handle_restart(target)
        self._log.write(
            log_events.SERVER_RESTARTED,
            target=target.name,
            started=target.started,
        )

    def _apply_caller_limits(self) -> None:
        configuration = self._catalog.configuration
        if configuration is not None:
            self._caller_server.limits = server.Limits(*configuration.limits)

    def _spawn(self, coroutine: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._instrumentation.record_failure(task.exception())

    def _close(self) -> None:
        self._maintenance_timer.cancel()
        self._tick_timer.cancel()
        self._version_timer.cancel()
        self._slot_queues.close()
        self._zone_loads_timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        self._sender.close()
        self._pool.close()
        self._store.close()

    def _get_retention(self) -> retention.Retention:
        return retention.Retention.from_configuration(
            self._catalog.configuration
        )

    def _make_write_id(self) -> str:
        return f'{self._rng.getrandbits(64):016x}'

    # Callbacks of components

    def _record_dropped_datagram(
        self, kind: str, reason: decoding.Reason, sender: str
    ) -> None:
        self.metrics.datagrams_dropped.add(1, kind=kind)
        self._instrumentation.record_rejected_message('peers', reason, sender)

    def _record_store_call(
        self, call: str, outcome: str, seconds: float
    ) -> None:
        self._instrumentation.record_store_call(call, outcome, seconds)

    def _record_rejected_response(self, reason: decoding.Reason) -> None:
        self._instrumentation.record_rejected_message(
            'store', reason, self.settings.store.address
        )

    def _record_store_state(self, is_available: bool) -> None:
        if is_available:
            self._instrumentation.record_store_recovered()
            self._reservations.record_credit()
        else:
            self._instrumentation.record_store_lost(
                self._store.average_latency
            )


def _compute_max_body(memory_limit: int | None) -> int:
    """Return the most bytes of a response that is held as a whole."""
    if memory_limit is None:
        return client.MAX_BODY_BYTES
    return min(client.MAX_BODY_BYTES, int(memory_limit * MAX_BODY_RATIO))


def get_relay_address(address: str) -> str | None:
    """Return the relay address of the instance with this peer address.

    ``None`` if the address, which another instance has told, is invalid.
    """
    host, _, port = address.rpartition(':')
    if not port.isdecimal():
        return None
    return f'{host}:{int(port) + RELAY_PORT_OFFSET}'
