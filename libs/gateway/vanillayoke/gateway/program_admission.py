"""Admission of programs to this instance by the capacity of their service.

A program is refused at its first turn or not at all. Where a route does not
keep history, later turns look like first ones, so while programs are refused
the coordinator of the program's budget is asked whether it has begun. It also
remembers the programs that were refused, as these return to any instance. If
it does not respond or can't know, the turn is admitted.
"""

import asyncio
import collections
import math
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import limits as limits_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import refusals
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import reservations as reservations_module
from vanillayoke.gateway import zone_loads as zone_loads_module
from vanillayoke.scheduling import program_admission
from vanillayoke.scheduling import program_demand
from vanillayoke.scheduling import refused_programs

# How long each of two copies of a query waits. Instances are busy while
# programs are refused, and a turn is admitted without a response.
QUERY_TIMEOUTS_SECONDS = (0.008, 0.012)
MAX_BEGUN_PROGRAMS = 2000
# How long programs that began at a former coordinator may be under way.
FORMER_COORDINATOR_SECONDS = 10.0


class Arrival(typing.NamedTuple):
    """A request of a program, and where it is to be served.

    ``name`` is that of its program in the scope of the organisation.
    """

    call: messages.Call
    name: str
    route: messages.Route
    service: str
    priority: int
    organisation: str | None
    deadline: float


class ProgramAdmission:
    """Admits the programs that arrive at this instance.

    ``get_incarnation`` returns this instance's incarnation in the membership.
    """

    def __init__(
        self,
        get_settings: typing.Callable[[], messages.Settings],
        zone_loads: zone_loads_module.ZoneLoads,
        reservations: reservations_module.Reservations,
        limits: limits_module.Limits,
        list_eligible: rendezvous.ListPeers,
        get_incarnation: typing.Callable[[], int],
        timer_service: timers.TimerService,
        random_float: typing.Callable[[], float],
        log: logs.Logger,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._get_settings = get_settings
        settings = get_settings()
        self._instance = settings.instance
        self._zone = settings.zone
        self._zone_loads = zone_loads
        self._reservations = reservations
        self._limits = limits
        self._list_eligible = list_eligible
        self._get_incarnation = get_incarnation
        self._timers = timer_service
        self._random_float = random_float
        self._log = log
        self._metrics = metrics
        self._peers: peers_module.Peers | None = None
        self._demands = program_demand.DemandModel()
        self._admission = program_admission.ProgramAdmission(self._demands)
        self._services: set[str] = set()
        # Programs that this instance has admitted.
        self._begun: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        # Programs that were refused, of those that this instance coordinates.
        self._refused = refused_programs.RefusedPrograms()
        # Until when programs may be under way that began at another
        # coordinator, whose successor this instance is.
        self._uncertain_until = (
            timer_service.now() + FORMER_COORDINATOR_SECONDS
        )
        self._incarnation: int | None = None
        self._eligible: typing.Sequence[rendezvous.Peer] = ()
        # When instances that may have been coordinators were removed.
        self._removed: dict[str, float] = {}
        reservations.set_program_observer(self._learn_program)

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._peers = peers

    def record_first_start(self) -> None:
        """Record that the whole system starts for the first time."""
        self._uncertain_until = -math.inf

    async def admit(self, arrival: Arrival) -> None:
        """Raise ``RefusalError`` if the request starts a program too many."""
        name = self._find_new_program(arrival)
        if name is None:
            return
        service, now = arrival.service, self._timers.now()
        self._services.add(service)
        loads = self._zone_loads.get_loads(service, now)
        capacity = self._admission.update(service, loads, now)
        program = self._make_program(arrival)
        if not capacity.is_refusing:
            self._admission.record_arrival(
                service,
                program,
                now,
                self._random_float(),
                arrival.route.keeps_history,
            )
            return
        status = await self._query(name)
        if status is None or status.is_begun:
            return
        now = self._timers.now()
        if status.waited_ms is not None:
            program = program._replace(waited=status.waited_ms / 1000)
        self._admission.record_arrival(
            service, program, now, self._random_float()
        )
        wait = None if status.wait_ms is None else status.wait_ms / 1000
        if wait == 0.0 and self._admission.admit_returning(
            service, program, now
        ):
            self._metrics.returned_programs.add(1, service=service)
            return
        decision = self._admission.decide(service, program, now, wait or None)
        if isinstance(decision, program_admission.Refused):
            self._refuse(arrival, name, program, decision)

    def record_begun(self, arrival: Arrival) -> None:
        """Record that a request of a program is served."""
        if not self._is_enabled():
            return
        self._begun[arrival.name] = None
        self._begun.move_to_end(arrival.name)
        if len(self._begun) > MAX_BEGUN_PROGRAMS:
            self._begun.popitem(last=False)

    def learn_turn(self, route: str, seconds: float) -> None:
        """Learn how long a turn occupied its slot."""
        if self._is_enabled():
            self._demands.learn_turn(route, seconds)

    def handle_query(
        self, query: peer_messages.ProgramQuery
    ) -> peer_messages.ProgramStatus:
        """Return what is known of a program that this instance coordinates.

        Of a program of another coordinator, only return whether it has begun.
        """
        now = self._timers.now()
        name = query.program
        if self._reservations.is_begun(name):
            return peer_messages.ProgramStatus(True)
        if query.is_second:
            return peer_messages.ProgramStatus(False)
        if not self._knows_programs_like(name, now):
            return peer_messages.ProgramStatus(True)
        known = self._refused.find(name, now)
        if known is None:
            return peer_messages.ProgramStatus(False)
        return peer_messages.ProgramStatus(
            False,
            math.ceil(known.waited * 1000),
            None if known.wait is None else math.ceil(known.wait * 1000),
        )

    def receive(self, notification: peer_messages.ProgramRefused) -> None:
        """Remember a program that another instance has refused."""
        now = self._timers.now()
        wait_ms = notification.wait_ms
        due = None if wait_ms is None else now + wait_ms / 1000
        self._refused.add(notification.program, due, now)

    def maintain(self) -> None:
        """Update the shares of all services, and their metrics."""
        if not self._is_enabled():
            return
        now = self._timers.now()
        self._update_members(now)
        for service in self._services:
            loads = self._zone_loads.get_loads(service, now)
            capacity = self._admission.update(service, loads, now)
            self._metrics.program_share.set(capacity.share, service=service)
            self._metrics.program_utilisation.set(
                round(capacity.utilisation, 3), service=service
            )

    def _is_enabled(self) -> bool:
        return self._get_settings().has_feature(
            messages.Feature.PROGRAM_ADMISSION
        )

    def _find_new_program(self, arrival: Arrival) -> str | None:
        """Return the program's name if the request may be its first turn."""
        call = arrival.call
        if (
            not self._is_enabled()
            or arrival.route.kind is not messages.RouteKind.STREAM
            or call.program is None
            # Without a budget nothing tells a later turn from a first one.
            or call.program.budget is None
            or call.previous_turn
            or call.last_event is not None
        ):
            return None
        name = arrival.name
        is_known = name in self._begun or self._reservations.is_begun(name)
        return None if is_known else name

    def _make_program(self, arrival: Arrival) -> program_demand.NewProgram:
        organisation = arrival.organisation
        return program_demand.NewProgram(
            arrival.route.name,
            arrival.priority,
            arrival.call.program.time_left,
            arrival.deadline - self._timers.now(),
            organisation is not None
            and self._limits.is_near_limit(organisation),
        )

    def _refuse(
        self,
        arrival: Arrival,
        name: str,
        program: program_demand.NewProgram,
        decision: program_admission.Refused,
    ) -> None:
        """Report a refusal, and raise ``RefusalError``."""
        self._report_refusal(name, decision)
        organisation = arrival.organisation or ''
        self._metrics.refused_programs.add(
            1,
            organisation=organisation,
            service=arrival.service,
            priority=str(program.priority),
        )
        time_left = program.time_left
        self._log.write(
            log_events.PROGRAM_REFUSED,
            request=arrival.call.request,
            organisation=organisation or None,
            program=arrival.call.program.name,
            route=arrival.route.name,
            service=arrival.service,
            zone=self._zone,
            priority=program.priority,
            hot=program.is_hot,
            share=round(decision.share, 3),
            utilisation=round(decision.utilisation, 3),
            expected=round(decision.expected_seconds, 3),
            limit=None if time_left is None else round(time_left, 3),
            waited=round(program.waited, 3),
            age=round(decision.load_age, 3),
            retry_after=round(decision.retry_after, 3),
            reserved=decision.is_reserved,
        )
        raise refusals.RefusalError(
            refusals.Reason.NO_CAPACITY,
            f'{decision.utilisation:.2f} requests per slot of'
            f' {arrival.service}, {decision.share:.0%} of such programs are'
            ' admitted',
            decision.retry_after,
            decision.is_reserved,
        )

    # The coordinator of a program

    async def _query(self, name: str) -> peer_messages.ProgramStatus | None:
        """Ask a program's coordinator; return ``None`` if it is silent.

        The second instance in rank is asked as well: turns reserve there if
        the coordinator does not respond to them.
        """
        ranked = rendezvous.list_highest(name, self._list_eligible(), 2)
        statuses = await asyncio.gather(
            *(
                self._query_instance(
                    peer, peer_messages.ProgramQuery(name, rank > 0)
                )
                for rank, peer in enumerate(ranked)
            )
        )
        for status in statuses:
            if status is not None and status.is_begun:
                return status
        return statuses[0] if statuses else None

    async def _query_instance(
        self, peer: rendezvous.Peer, query: peer_messages.ProgramQuery
    ) -> peer_messages.ProgramStatus | None:
        if peer.instance == self._instance:
            return self.handle_query(query)
        response = await self._peers.send_request(
            peer.address,
            query,
            self._timers.now() + sum(QUERY_TIMEOUTS_SECONDS),
            QUERY_TIMEOUTS_SECONDS,
        )
        if isinstance(response, peer_messages.ProgramStatus):
            return response
        return None

    def _report_refusal(
        self, name: str, decision: program_admission.Refused
    ) -> None:
        wait_ms = None
        if decision.is_reserved:
            wait_ms = round(decision.retry_after * 1000)
        notification = peer_messages.ProgramRefused(name, wait_ms)
        coordinator = self._find_coordinator(name)
        if coordinator is None:
            return
        if coordinator.instance == self._instance:
            self.receive(notification)
        else:
            self._peers.notify(coordinator.address, notification)

    def _find_coordinator(self, name: str) -> rendezvous.Peer | None:
        return rendezvous.find_coordinator(name, self._list_eligible())

    def _knows_programs_like(self, name: str, now: float) -> bool:
        """Return whether this instance would know if a program had begun.

        It does not for a time if another instance was its coordinator.
        """
        self._update_members(now)
        coordinator = self._find_coordinator(name)
        own_name = self._instance
        if coordinator is None or coordinator.instance != own_name:
            return False
        if now < self._uncertain_until:
            return False
        candidates = (own_name, *self._removed)
        return rendezvous.find_highest(name, candidates) == own_name

    def _update_members(self, now: float) -> None:
        """Note which instances can no longer be coordinators.

        A new incarnation of this instance means that others had regarded it
        as failed, so that programs began at other coordinators.
        """
        incarnation = self._get_incarnation()
        if self._incarnation not in (None, incarnation):
            self._uncertain_until = now + FORMER_COORDINATOR_SECONDS
        self._incarnation = incarnation
        eligible = self._list_eligible()
        if eligible is not self._eligible:
            current = {peer.instance for peer in eligible}
            for peer in self._eligible:
                if peer.instance not in current:
                    self._removed[peer.instance] = now
            for name in current:
                self._removed.pop(name, None)
            self._eligible = eligible
        for name, removed_at in list(self._removed.items()):
            if now - removed_at > FORMER_COORDINATOR_SECONDS:
                del self._removed[name]

    def _learn_program(self, ended: reservations_module.EndedProgram) -> None:
        if self._is_enabled():
            self._demands.learn_program(*ended)
