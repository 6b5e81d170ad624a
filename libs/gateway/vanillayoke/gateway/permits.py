"""Which runs of suspects are under way, and who may begin the next one.

While a suspect may be to blame for the ends of targets, its first coordinator
permits a single run at a time. The coordinator of a target keeps others away
from a suspect that must be alone there.
"""

import asyncio
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import suspects as suspects_module

# How long each copy of a query to another coordinator waits for the response.
CONSULTATION_TIMEOUTS_SECONDS = (0.02, 0.05)


class _TargetRun(typing.NamedTuple):
    """The run of a suspect at a target, until ``expires_at``."""

    is_exclusive: bool
    expires_at: float


class _Permit(typing.NamedTuple):
    """The run of a suspect that is under way, until ``expires_at``."""

    ticket: str
    expires_at: float


class Permits:
    """Permits runs of suspects, and asks the coordinators for permission."""

    def __init__(
        self,
        instance: str,
        suspects: suspects_module.Suspects,
        membership: rendezvous.MembershipView,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        log: logs.Logger,
    ) -> None:
        self._instance = instance
        self._suspects = suspects
        self._membership = membership
        self._timers = timer_service
        self._spawn = spawn
        self._log = log
        self._peers: peers_module.Peers | None = None
        self._permits: dict[str, _Permit] = {}
        # By target and ticket.
        self._target_runs: dict[str, dict[str, _TargetRun]] = {}
        # Set when a permit ends or when there is news of a suspect.
        self._changes: dict[str, asyncio.Event] = {}

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    def maintain(self) -> None:
        """Forget permits that have expired; called regularly."""
        now = self._timers.now()
        for fingerprint, permit in list(self._permits.items()):
            if permit.expires_at <= now:
                del self._permits[fingerprint]
        for fingerprint in set(self._changes) - set(self._suspects.known):
            self.notify_waiting(fingerprint)

    # Requests of this instance

    def report(self, fingerprint: str, ticket: str) -> None:
        """Tell the coordinators what is known, and that a run has ended."""
        query = self._make_query(fingerprint, ticket, 0.0)
        for peer in self._suspects.list_coordinators(fingerprint):
            if peer.instance == self._instance:
                self.handle_query(query)
            else:
                self._spawn(self._send_report(peer, query))

    async def _send_report(
        self, peer: rendezvous.Peer, query: peer_messages.SuspectQuery
    ) -> None:
        status = await self._peers.send_request(
            peer.address,
            query,
            self._timers.now(),
            peers_module.LONG_RETRY_TIMEOUTS_SECONDS,
        )
        if isinstance(status, peer_messages.SuspectStatus):
            self._suspects.merge(
                query.fingerprint, status.ends, status.completed
            )

    async def request_run(
        self, fingerprint: str, ticket: str, deadline: float
    ) -> bool:
        """Return whether a suspect may run now, and no other run does.

        Otherwise there is news, or the deadline has passed.
        """
        query = self._make_query(
            fingerprint, ticket, deadline - self._timers.now()
        )
        for peer in self._suspects.list_coordinators(fingerprint):
            if peer.instance == self._instance:
                break
            status = await self._peers.send_request(
                peer.address, query, deadline
            )
            match status:
                case peer_messages.SuspectStatus():
                    self._suspects.merge(
                        fingerprint, status.ends, status.completed
                    )
                    return status.is_permitted
                case peer_messages.Pending():
                    return False
        # Without another coordinator, at least one run at a time here.
        status = await self._permit(query)
        return status.is_permitted

    async def request_target(
        self, target: str, ticket: str, is_exclusive: bool, deadline: float
    ) -> bool:
        """Return whether a suspect may run at a target now.

        An exclusive run has no other suspect's run beside it.
        """
        query = peer_messages.TargetQuery(
            target,
            ticket,
            is_exclusive,
            max(1, int(1000 * (deadline - self._timers.now()))),
        )
        coordinator = rendezvous.find_coordinator(
            target, self._membership.list_eligible()
        )
        if coordinator is not None and coordinator.instance != self._instance:
            status = await self._peers.send_request(
                coordinator.address, query, deadline
            )
            if isinstance(status, peer_messages.SuspectStatus):
                return status.is_permitted
        return self.handle_target_query(query).is_permitted

    def release_target(self, target: str, ticket: str) -> None:
        """Tell that a suspect's run at a target has ended."""
        query = peer_messages.TargetQuery(target, ticket, False, 0)
        self.handle_target_query(query)
        coordinator = rendezvous.find_coordinator(
            target, self._membership.list_eligible()
        )
        if coordinator is not None and coordinator.instance != self._instance:
            self._spawn(
                self._peers.send_request(
                    coordinator.address, query, self._timers.now()
                )
            )

    # Coordination

    def handle_target_query(
        self, query: peer_messages.TargetQuery
    ) -> peer_messages.SuspectStatus:
        """Answer an instance that wants to run a suspect at a target."""
        now = self._timers.now()
        runs = {
            ticket: run
            for ticket, run in self._target_runs.get(query.target, {}).items()
            if ticket != query.ticket and run.expires_at > now
        }
        is_permitted = query.time_left_ms > 0 and not any(
            run.is_exclusive or query.is_exclusive for run in runs.values()
        )
        if is_permitted:
            runs[query.ticket] = _TargetRun(
                query.is_exclusive, now + query.time_left_ms / 1000
            )
        self._target_runs[query.target] = runs
        if not runs:
            del self._target_runs[query.target]
        return peer_messages.SuspectStatus((), None, is_permitted)

    def handle_query(
        self, query: peer_messages.SuspectQuery
    ) -> (
        peer_messages.SuspectStatus
        | typing.Coroutine[typing.Any, typing.Any, peer_messages.SuspectStatus]
    ):
        """Answer an instance at which a suspect wants to run or has run."""
        if query.time_left_ms:
            return self._permit(query)
        self._end_permit(query.fingerprint, query.ticket)
        self._suspects.merge(query.fingerprint, query.ends, query.completed)
        return self._make_status(query.fingerprint, False)

    async def _permit(
        self, query: peer_messages.SuspectQuery
    ) -> peer_messages.SuspectStatus:
        fingerprint = query.fingerprint
        self._end_permit(fingerprint, query.ticket)
        self._suspects.merge(fingerprint, query.ends, query.completed)
        deadline = self._timers.now() + query.time_left_ms / 1000
        known = self._count_ends(fingerprint)
        await self._consult(fingerprint)
        while True:
            now = self._timers.now()
            permit = self._permits.get(fingerprint)
            if (
                self._count_ends(fingerprint) != known
                or self._is_quarantined(fingerprint, now)
                or now >= deadline
            ):
                return self._make_status(fingerprint, False)
            if permit is None or permit.expires_at <= now:
                break
            await self._wait(fingerprint, min(deadline, permit.expires_at))
        if known:
            self._permits[fingerprint] = _Permit(query.ticket, deadline)
            self._log_permit(query)
        return self._make_status(fingerprint, True)

    async def _consult(self, fingerprint: str) -> None:
        """Learn what the other coordinators know of a suspect.

        This instance may have been out of step, so that it has missed ends, or
        takes the other ones for lost.
        """
        known = {
            peer.instance: peer
            for peers in (
                self._suspects.list_coordinators(fingerprint),
                self._membership.list_lost(),
            )
            for peer in rendezvous.list_highest(
                fingerprint, peers, suspects_module.COORDINATOR_COUNT
            )
        }
        known.pop(self._instance, None)
        query = self._make_query(fingerprint, '', 0.0)
        responses = await asyncio.gather(
            *(
                self._peers.send_request(
                    peer.address,
                    query,
                    self._timers.now(),
                    CONSULTATION_TIMEOUTS_SECONDS,
                )
                for peer in known.values()
            )
        )
        for status in responses:
            if isinstance(status, peer_messages.SuspectStatus):
                self._suspects.merge(
                    fingerprint, status.ends, status.completed
                )

    async def _wait(self, fingerprint: str, until: float) -> None:
        change = self._changes.setdefault(fingerprint, asyncio.Event())
        try:
            async with asyncio.timeout(until - self._timers.now()):
                await change.wait()
        except TimeoutError:
            pass

    def notify_waiting(self, fingerprint: str) -> None:
        """Wake runs of a suspect that wait, as there is news of it."""
        change = self._changes.pop(fingerprint, None)
        if change is not None:
            change.set()

    def _end_permit(self, fingerprint: str, ticket: str) -> None:
        permit = self._permits.get(fingerprint)
        if permit is not None and permit.ticket == ticket:
            del self._permits[fingerprint]
            self.notify_waiting(fingerprint)

    def _is_quarantined(self, fingerprint: str, now: float) -> bool:
        """Return whether all services at which processes ended refuse it."""
        suspect = self._suspects.known.get(fingerprint)
        return (
            suspect is not None
            and suspect.is_quarantined(now)
            and not suspect.must_run_alone(now)
        )

    def _count_ends(self, fingerprint: str) -> int:
        suspect = self._suspects.known.get(fingerprint)
        return 0 if suspect is None else len(suspect.ends)

    # Messages

    def _make_query(
        self, fingerprint: str, ticket: str, time_left: float
    ) -> peer_messages.SuspectQuery:
        return peer_messages.SuspectQuery(
            fingerprint,
            ticket,
            self._suspects.encode_ends(fingerprint),
            self._suspects.encode_completion(fingerprint),
            max(0, int(time_left * 1000)),
        )

    def _make_status(
        self, fingerprint: str, is_permitted: bool
    ) -> peer_messages.SuspectStatus:
        return peer_messages.SuspectStatus(
            self._suspects.encode_ends(fingerprint),
            self._suspects.encode_completion(fingerprint),
            is_permitted,
        )

    def _log_permit(self, query: peer_messages.SuspectQuery) -> None:
        suspect = self._suspects.known.get(query.fingerprint)
        self._log.write(
            log_events.REQUEST_ADMITTED,
            fingerprint=query.fingerprint,
            ticket=query.ticket,
            ends=len(suspect.ends),
            last_end_age=round(self._timers.now() - suspect.last_end_at, 3),
        )
