"""Exchange of the loads of zones between instances.

An instance reports the load of the targets that it coordinates in its zone to
the coordinator of the zone. This one sums the reports, sends the sum to the
coordinators of the other zones, and all that it knows to the instances of its
own zone. No instance waits for these datagrams: without them, loads become too
old and each instance uses its own view.

A zone without instances has no load: the others can't tell whether these have
ended or are behind a network partition, together with the zone's targets.
"""

import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import load_queries as load_queries_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import occupancy as occupancy_module
from vanillayoke.scheduling import slowdown as slowdown_module
from vanillayoke.scheduling import zone_choice
from vanillayoke.scheduling import zone_loads

# How often instances report, and coordinators send sums to each other.
REPORT_INTERVAL_SECONDS = 0.25
# How many intervals pass between two datagrams to the instances of a zone. A
# load is then known everywhere after at most a second: it waits for a report,
# for a sum, and for two intervals at the coordinator of another zone.
INTERVALS_PER_BROADCAST = 2
# A new coordinator has reports of all instances after this time: an interval
# after they have found out about it.
WARM_UP_SECONDS = 0.6
# An instance that coordinates no target any more sends so many empty reports,
# as datagrams may be lost.
EMPTY_REPORT_COUNT = 4
# A coordinator that has stood still for longer warms up again: it drops the
# reports that have become too old before it has read the later ones.
MAX_PAUSE_SECONDS = 1.0
# Loads of services in one datagram, so that it fits into one packet unless a
# single zone has more.
MAX_LOADS_PER_DATAGRAM = 24


class TargetView(typing.NamedTuple):
    """What the load of a zone is made of.

    ``get_speed`` returns the speed of a target relative to the mean of its
    service, and ``reports_contention`` whether the targets of a service report
    how slow their machines are.
    """

    catalog: catalog_module.Catalog
    occupancy: occupancy_module.Occupancy
    load_queries: load_queries_module.LoadQueries
    get_speed: typing.Callable[[messages.Target], float]
    reports_contention: typing.Callable[[str], bool]


class ZoneLoads:
    """The loads of all zones, as known to this instance."""

    def __init__(
        self,
        get_settings: typing.Callable[[], messages.Settings],
        incarnation: int,
        targets: TargetView,
        list_eligible: rendezvous.ListPeers,
        timer_service: timers.TimerService,
        random_float: typing.Callable[[], float],
        log: logs.Logger,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._get_settings = get_settings
        self._instance = get_settings().instance
        self._zone = get_settings().zone
        self._targets = targets
        self._list_eligible = list_eligible
        self._timers = timer_service
        self._random_float = random_float
        self._log = log
        self._metrics = metrics
        self._peers: peers_module.Peers | None = None
        self._incarnation = incarnation
        self._interval_count = 0
        self._reports = zone_loads.TargetReports()
        self._table = zone_loads.ZoneTable()
        self._choices: dict[str, zone_choice.ZoneChoice] = {}
        # The relative slowdown of a full target by service.
        self._slowdowns: dict[str, float] = {}
        self._target_coordinators = rendezvous.Coordinators()
        self._eligible: typing.Sequence[rendezvous.Peer] = ()
        self._zone_peers: dict[str, list[rendezvous.Peer]] = {}
        self._zone_coordinators: dict[str, rendezvous.Peer] = {}
        # Since when this instance coordinates its zone, and the first part of
        # the versions of its sums; None if it does not.
        self._coordinated: tuple[float, int] | None = None
        self._remaining_reports = 0
        self._ticked_at = float('-inf')

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def start(self) -> timers.Subscription:
        """Start to report, where a feature needs it."""
        return self._timers.call_every(REPORT_INTERVAL_SECONDS, self._tick)

    def get_loads(
        self, service: str, now: float
    ) -> dict[str, zone_loads.ZoneLoad]:
        """Return the loads of a service by zone that are recent enough."""
        return self._table.get_loads(service, now)

    def receive(
        self, notification: peer_messages.TargetLoads | peer_messages.ZoneLoads
    ) -> None:
        """Handle a notification of another instance."""
        if not self._may_balance() and not self._has_admission():
            return
        now = self._timers.now()
        match notification:
            case peer_messages.TargetLoads(zone, reporter, version, services):
                if zone == self._zone:
                    self._reports.put(reporter, version, services, now)
            case peer_messages.ZoneLoads(zones):
                for report in zones:
                    self._table.merge(report, now)

    # Decisions

    def choose_zone(
        self,
        service: str,
        request: str,
        affinity_target: str | None,
        is_turn: bool,
        slope: float,
    ) -> str:
        """Return the zone whose targets a request prefers.

        ``affinity_target`` has the cache of the request's program. ``slope``
        is the relative latency that each request at a target adds.
        """
        if not is_turn or not self._is_balanced(service):
            return self._zone
        catalog = self._targets.catalog
        targets = catalog.list_targets(service)
        if targets:
            self._slowdowns[service] = slope * targets[0].slots
        choice = self._choices.get(service)
        if choice is None:
            return self._zone
        if affinity_target is not None:
            target = catalog.find_target(service, affinity_target)
            if target is not None:
                # A zone whose load is unknown may be out of reach.
                is_known = choice.is_known(target.zone)
                return target.zone if is_known else self._zone
        zone = choice.choose(self._random_float)
        if zone != self._zone:
            self._metrics.programs_in_other_zones.add(
                1, service=service, zone=zone
            )
            self._log.write(
                log_events.PROGRAM_IN_OTHER_ZONE,
                request=request,
                service=service,
                zone=zone,
            )
        return zone

    def split_remote(
        self,
        service: str,
        zone: str,
        local: typing.Sequence[occupancy_module.Candidate],
        remote: typing.Sequence[occupancy_module.Candidate],
    ) -> zone_choice.RemoteTargets:
        """Return which targets to ask if those in ``local`` are loaded.

        ``zone`` is the one whose targets the request prefers.
        """
        choice = self._choices.get(service)
        if choice is None or not self._is_balanced(service):
            return zone_choice.RemoteTargets(list(remote), [])
        return zone_choice.split_remote(choice, zone, local, remote)

    def _may_balance(self) -> bool:
        return self._get_settings().has_feature(
            messages.Feature.ZONE_BALANCING, reports_contention=True
        )

    def _has_admission(self) -> bool:
        return self._get_settings().has_feature(
            messages.Feature.PROGRAM_ADMISSION
        )

    def _is_balanced(self, service: str) -> bool:
        return self._get_settings().has_feature(
            messages.Feature.ZONE_BALANCING,
            self._targets.reports_contention(service),
        )

    # Exchange

    def _tick(self) -> None:
        now = self._timers.now()
        self._interval_count += 1
        if not self._may_balance() and not self._has_admission():
            return
        services = self._list_services()
        if not services or now - self._ticked_at > MAX_PAUSE_SECONDS:
            # A sum would lack the reports that have yet to arrive.
            self._coordinated = None
        self._ticked_at = now
        self._update_members()
        self._send_report(services, now)
        peers = self._zone_peers.get(self._zone, ())
        self._reports.retain({peer.instance for peer in peers}, now)
        self._send_sums(now)
        self._table.prune(now)
        self._update_choices(services, now)

    def _list_services(self) -> list[str]:
        """Return the services whose loads are reported."""
        configuration = self._targets.catalog.configuration
        if configuration is None:
            return []
        has_admission = self._has_admission()
        return [
            service
            for service in configuration.services
            if has_admission or self._is_balanced(service)
        ]

    def _update_members(self) -> None:
        eligible = self._list_eligible()
        if eligible is self._eligible:
            return
        self._eligible = eligible
        self._zone_peers = {}
        for peer in eligible:
            self._zone_peers.setdefault(peer.zone, []).append(peer)
        self._zone_coordinators = {
            zone: rendezvous.find_coordinator(zone, peers)
            for zone, peers in self._zone_peers.items()
        }
        if not self._is_coordinator:
            self._coordinated = None

    @property
    def _is_coordinator(self) -> bool:
        """Whether this instance coordinates its zone."""
        coordinator = self._zone_coordinators.get(self._zone)
        return (
            coordinator is not None and coordinator.instance == self._instance
        )

    def _send_report(self, services: list[str], now: float) -> None:
        """Report the load of this instance's targets."""
        coordinator = self._zone_coordinators.get(self._zone)
        if coordinator is None:
            return
        loads = self._measure(services, now)
        if loads:
            self._remaining_reports = EMPTY_REPORT_COUNT
        elif self._remaining_reports <= 0:
            return
        else:
            self._remaining_reports -= 1
        version = (self._incarnation, self._interval_count)
        report = peer_messages.TargetLoads(
            self._zone, self._instance, version, loads
        )
        if self._is_coordinator:
            self.receive(report)
        else:
            self._peers.notify(coordinator.address, report)

    def _measure(
        self, services: list[str], now: float
    ) -> tuple[zone_loads.ServiceLoad, ...]:
        """Return the loads of the targets that this instance coordinates."""
        targets = {
            target.name: target
            for service in services
            for target in self._targets.catalog.list_targets(service)
            if target.zone == self._zone
        }
        peers = self._zone_peers.get(self._zone, ())
        coordinators = self._target_coordinators.update(
            targets, frozenset(peer.instance for peer in peers)
        )
        groups: dict[str, list[messages.Target]] = {}
        for name, target in targets.items():
            if coordinators[name] == self._instance:
                groups.setdefault(target.service, []).append(target)
        return tuple(
            self._measure_service(service, group, now)
            for service, group in groups.items()
        )

    def _measure_service(
        self, service: str, targets: list[messages.Target], now: float
    ) -> zone_loads.ServiceLoad:
        occupancy = self._targets.occupancy
        total_slots, running, waiting, capacity = 0, 0.0, 0.0, 0.0
        for target in targets:
            if occupancy.is_unhealthy(target.name, now):
                continue
            slots = occupancy.get_slots(
                occupancy_module.Candidate(
                    target.name, target.slots, target.zone
                )
            )
            requests = self._targets.load_queries.count_requests(target.name)
            total_slots += slots
            running += min(requests, slots)
            waiting += max(0.0, requests - slots)
            capacity += slots * self._targets.get_speed(target)
        return zone_loads.ServiceLoad(
            service, total_slots, running, waiting, capacity
        )

    def _send_sums(self, now: float) -> None:
        """Send what this instance knows as the coordinator of its zone."""
        if not self._is_coordinator:
            return
        if self._coordinated is None:
            # Higher than the epoch of a predecessor that started later.
            known_epoch, _ = self._table.get_version(self._zone)
            epoch = max(self._incarnation, known_epoch + 1)
            self._coordinated = (now, epoch)
        since, epoch = self._coordinated
        if now - since >= WARM_UP_SECONDS:
            version = (epoch, self._interval_count)
            report = self._reports.sum(self._zone, version, now)
            if report is not None:
                self._table.merge(report, now)
                coordinators = self._zone_coordinators.values()
                self._send(coordinators, [report])
        if self._interval_count % INTERVALS_PER_BROADCAST == 0:
            peers = self._zone_peers.get(self._zone, ())
            self._send(peers, self._table.list_reports(now))

    def _send(
        self,
        peers: typing.Iterable[rendezvous.Peer],
        reports: typing.Sequence[zone_loads.ZoneReport],
    ) -> None:
        addresses = [
            peer.address for peer in peers if peer.instance != self._instance
        ]
        for group in _split(reports):
            notification = peer_messages.ZoneLoads(tuple(group))
            for address in addresses:
                self._peers.notify(address, notification)

    def _update_choices(self, services: list[str], now: float) -> None:
        """Decide anew which zones are short, and write it to log and metrics.

        Only the coordinator of the zone writes log lines.
        """
        for service in services:
            loads = self._table.get_loads(service, now)
            choice = self._choices.get(service)
            if choice is None:
                choice = zone_choice.ZoneChoice(self._zone)
                self._choices[service] = choice
            was_short = self._zone in choice.short
            slowdown = self._slowdowns.get(
                service, slowdown_module.INITIAL_SLOWDOWN
            )
            known = set(choice.list_zones())
            choice.update(loads, slowdown)
            is_short = self._zone in choice.short
            if is_short != was_short and self._zone in loads:
                self._log_change(service, loads[self._zone], choice)
            for zone in known | loads.keys():
                value = (
                    loads[zone].utilisation if zone in loads else float('nan')
                )
                self._metrics.zone_utilisation.set(
                    value, service=service, zone=zone
                )
            self._metrics.zone_is_short.set(int(is_short), service=service)

    def _log_change(
        self,
        service: str,
        load: zone_loads.ZoneLoad,
        choice: zone_choice.ZoneChoice,
    ) -> None:
        if not self._is_coordinator:
            return
        requests = round(load.running + load.waiting, 1)
        if self._zone in choice.short:
            self._log.write(
                log_events.ZONE_SHORT,
                zone=self._zone,
                service=service,
                requests=requests,
                slots=load.slots,
                percent=round(100 * choice.plan.ratio),
            )
        else:
            self._log.write(
                log_events.ZONE_RECOVERED,
                zone=self._zone,
                service=service,
                requests=requests,
                slots=load.slots,
            )


def _split(
    reports: typing.Sequence[zone_loads.ZoneReport],
) -> list[list[zone_loads.ZoneReport]]:
    """Split reports into groups that fit into one datagram each."""
    groups: list[list[zone_loads.ZoneReport]] = []
    count = 0
    for report in reports:
        count += len(report.services)
        if not groups or count > MAX_LOADS_PER_DATAGRAM:
            groups.append([])
            count = len(report.services)
        groups[-1].append(report)
    return groups
