"""Admission of requests within the limit of their organisation.

Each organisation's limit has a coordinator, the instance with the highest
rendezvous score, which counts what all instances admit. An instance that
knows usage to be well below the limit admits at once and reports to the
coordinator afterwards; otherwise it asks first.
"""

import asyncio
import collections
import typing

from vanillayoke.core import timers
from vanillayoke.gateway import limit_accounts
from vanillayoke.gateway import messages
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import refusals
from vanillayoke.gateway import rendezvous
from vanillayoke.scheduling import quotas

# Distinguishes the keys of limits from those of programs.
KEY_PREFIX = 'limit/'
# How long admitted requests are batched before they are reported.
REPORT_DELAY_SECONDS = 0.25
# The share of the tolerance that all instances together may admit without
# reporting, assuming that each admits as many requests as this one. Without a
# valid response of the coordinator an instance asks first, unless all
# instances may admit one request each within this share.
UNREPORTED_RATIO = 1.0 - quotas.SAVE_RATIO
# How long a response of the coordinator is valid.
STATUS_LIFETIME_SECONDS = 1.0
MAX_COORDINATORS = 3
# How long an instance that did not respond is skipped.
UNRESPONSIVE_SECONDS = 1.0
# Highest-ranked instances cached for each organisation.
MAX_RANKED = 8
# Retry delay of requests refused because no coordinator can be reached.
NO_COORDINATOR_RETRY_SECONDS = 0.25
# How long an instance cut off from most others assumes that these still have
# a coordinator. Network partitions are shorter.
MAX_ISOLATION_SECONDS = 15.0


class Admission(typing.NamedTuple):
    """An admitted request, and the time at which it was counted."""

    organisation: str
    request: quotas.AdmissionRequest
    admitted_at: float


class _Entry:
    """Requests admitted at one time, and whether they were reported."""

    __slots__ = ('admitted_at', 'request', 'count', 'is_reported')

    def __init__(
        self,
        admitted_at: float,
        request: quotas.AdmissionRequest,
        count: int,
        is_reported: bool,
    ) -> None:
        self.admitted_at = admitted_at
        self.request = request
        self.count = count
        self.is_reported = is_reported


class _Usage:
    """Requests of one organisation that this instance has admitted."""

    def __init__(self) -> None:
        self.entries: collections.deque[_Entry] = collections.deque()
        self.coordinator: str | None = None
        self.has_changed_coordinator = False
        self.is_near_limit = False
        self.lacks_coordinator = False
        self.is_report_scheduled = False
        # When the coordinator last responded.
        self.responded_at = float('-inf')
        self.limit = quotas.Limit(0.0, 0.0, 0.0, 0.0)
        self.version = 0

    def add(
        self,
        admitted_at: float,
        request: quotas.AdmissionRequest,
        count: int,
        is_reported: bool = False,
    ) -> None:
        self.entries.append(_Entry(admitted_at, request, count, is_reported))

    def prune(self, cutoff: float) -> None:
        while self.entries and self.entries[0].admitted_at < cutoff:
            self.entries.popleft()

    def count(self) -> int:
        return sum(entry.count for entry in self.entries)

    def count_unreported(self) -> int:
        count = 0
        for entry in reversed(self.entries):
            if entry.is_reported:
                break
            count += abs(entry.count)
        return count

    def take_unreported(self, is_full: bool) -> list[_Entry]:
        """Return the entries to report and mark them as reported.

        ``is_full`` includes those reported before.
        """
        entries = []
        for entry in self.entries:
            if is_full or not entry.is_reported:
                entries.append(entry)
                entry.is_reported = True
        return entries


class Limits:
    """Admits the requests that arrive at this instance."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        tolerance: quotas.Tolerance,
        membership: rendezvous.MembershipView,
        accounts: limit_accounts.LimitAccounts,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        get_version: typing.Callable[[], int],
        is_isolated: typing.Callable[[], bool],
        random_float: typing.Callable[[], float],
    ) -> None:
        self._instance = instance
        # Distinguishes this process from a former one of the same instance,
        # whose reports it must not replace.
        self._reporter = f'{instance}/{incarnation}'
        self._tolerance = tolerance
        self._window = tolerance.window
        self._membership = membership
        self._accounts = accounts
        self._timers = timer_service
        self._spawn = spawn
        self._get_version = get_version
        self._is_isolated = is_isolated
        self._cut_off_since: float | None = None
        self._random_float = random_float
        self._peers: peers_module.Peers | None = None
        self._usages: dict[str, _Usage] = {}
        self._unresponsive: dict[str, float] = {}
        self._eligible: typing.Sequence[rendezvous.Peer] = ()
        self._rankings: dict[str, list[str]] = {}

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._peers = peers

    async def admit(
        self,
        organisation: messages.Organisation | None,
        request: quotas.AdmissionRequest,
        deadline: float,
    ) -> Admission | None:
        """Count a request as used; return ``None`` if there is no limit.

        A request of a program that has begun waits for room until the
        deadline. Raise ``RefusalError`` if the limit has no room.
        """
        if organisation is None or not organisation.rate:
            return None
        usage = self._open_usage(organisation)
        now = self._timers.now()
        if self._must_ask(usage, now):
            await self._wait_for_room(
                organisation.name, usage, request, deadline
            )
        else:
            usage.add(now, request, 1)
            self._report_usage(organisation.name, usage)
        return Admission(organisation.name, request, self._timers.now())

    def is_near_limit(self, organisation: str) -> bool:
        """Return whether an organisation has nearly used up its limit."""
        usage = self._usages.get(organisation)
        return usage is not None and usage.is_near_limit

    def adjust(self, admission: Admission, count: int) -> None:
        """Count further runs of a request; -1 if it did not run."""
        usage = self._usages.get(admission.organisation)
        if usage is not None:
            usage.add(admission.admitted_at, admission.request, count)
            self._schedule_report(admission.organisation, usage)

    def prune(self) -> None:
        """Drop what has left the window; report to new coordinators."""
        now = self._timers.now()
        for name, usage in list(self._usages.items()):
            usage.prune(now - self._window)
            if not usage.entries:
                del self._usages[name]
            elif usage.coordinator != self._find_coordinator(name):
                self._schedule_report(name, usage)

    def _must_ask(self, usage: _Usage, now: float) -> bool:
        if usage.is_near_limit or usage.lacks_coordinator:
            return True
        if now - usage.responded_at < STATUS_LIFETIME_SECONDS:
            return False
        count = len(self._list_eligible())
        return count > UNREPORTED_RATIO * usage.limit.tolerance

    def _open_usage(self, organisation: messages.Organisation) -> _Usage:
        usage = self._usages.get(organisation.name)
        if usage is None:
            usage = self._usages[organisation.name] = _Usage()
        usage.limit = quotas.Limit.from_rate(
            organisation.rate, organisation.burst, self._tolerance
        )
        usage.version = self._get_version()
        return usage

    async def _wait_for_room(
        self,
        organisation: str,
        usage: _Usage,
        request: quotas.AdmissionRequest,
        deadline: float,
    ) -> None:
        """Ask until the request is admitted or can't be before the deadline.

        A program that has begun would fail with one of its requests.
        """
        while True:
            response = await self._send_report(organisation, usage, request)
            if response is None:
                self._admit_without_coordinator(usage, request)
                return
            if response.refusal_reason is None:
                # The coordinator has counted the request already.
                usage.add(self._timers.now(), request, 1, is_reported=True)
                self._usages[organisation] = usage
                return
            now = self._timers.now()
            if (
                response.is_new_program
                or now + response.retry_after > deadline
            ):
                reason = refusals.Reason.OVER_LIMIT
                if response.urgent:
                    reason = refusals.Reason.OVER_LIMIT_URGENT
                raise refusals.RefusalError(
                    reason,
                    f'{response.refusal_reason};'
                    f' counted by {usage.coordinator}',
                    response.retry_after,
                )
            await self._timers.sleep(response.retry_after)

    def _admit_without_coordinator(
        self, usage: _Usage, request: quotas.AdmissionRequest
    ) -> None:
        """Admit this instance's even share of the tolerance.

        No coordinator responds, and the limit may be used up. A share of less
        than one request is the probability of admitting one.
        """
        count = max(1, len(self._list_eligible()))
        now = self._timers.now()
        usage.prune(now - self._window)
        share = UNREPORTED_RATIO * usage.limit.tolerance / count
        if usage.count() + self._random_float() > share:
            raise refusals.RefusalError(
                refusals.Reason.OVER_LIMIT,
                'no coordinator of the limit responds',
                NO_COORDINATOR_RETRY_SECONDS,
            )
        usage.add(now, request, 1)

    def _report_usage(self, organisation: str, usage: _Usage) -> None:
        count = usage.count_unreported() * len(self._list_eligible())
        if count < UNREPORTED_RATIO * usage.limit.tolerance:
            self._schedule_report(organisation, usage)
        else:
            self._spawn(self._send_report(organisation, usage, None))

    def _schedule_report(self, organisation: str, usage: _Usage) -> None:
        if not usage.is_report_scheduled:
            usage.is_report_scheduled = True
            self._spawn(self._send_delayed_report(organisation, usage))

    async def _send_delayed_report(
        self, organisation: str, usage: _Usage
    ) -> None:
        await self._timers.sleep(REPORT_DELAY_SECONDS)
        usage.is_report_scheduled = False
        is_reassigned = usage.coordinator != self._find_coordinator(
            organisation
        )
        if is_reassigned or usage.count_unreported():
            await self._send_report(organisation, usage, None)

    async def _send_report(
        self,
        organisation: str,
        usage: _Usage,
        request: quotas.AdmissionRequest | None,
    ) -> peer_messages.LimitStatus | None:
        """Report unreported requests to the coordinator; return its response.

        Return ``None`` if no instance responds.
        """
        for _ in range(MAX_COORDINATORS):
            coordinator = self._find_coordinator(organisation)
            if coordinator is None:
                break
            report = self._make_report(
                organisation, usage, coordinator, request
            )
            response = await self._deliver(coordinator, report)
            if isinstance(response, peer_messages.LimitStatus):
                usage.is_near_limit = response.is_near_limit
                usage.lacks_coordinator = False
                usage.responded_at = self._timers.now()
                return response
            self._unresponsive[coordinator] = self._timers.now()
            # It may have counted the requests or not: the next coordinator
            # gets a complete report.
            usage.coordinator = None
            usage.has_changed_coordinator = True
        usage.lacks_coordinator = True
        return None

    def _make_report(
        self,
        organisation: str,
        usage: _Usage,
        coordinator: str,
        request: quotas.AdmissionRequest | None,
    ) -> peer_messages.UsageReport:
        now = self._timers.now()
        usage.prune(now - self._window)
        is_full = usage.coordinator != coordinator
        is_reassigned = is_full and (
            usage.coordinator is not None or usage.has_changed_coordinator
        )
        usage.coordinator = coordinator
        return peer_messages.UsageReport(
            organisation,
            self._reporter,
            usage.limit,
            usage.version,
            tuple(
                peer_messages.UsageRecord(
                    round((now - entry.admitted_at) * 1000),
                    entry.request.program,
                    entry.request.route,
                    entry.count,
                    entry.request.priority,
                )
                for entry in usage.take_unreported(is_full)
            ),
            is_full,
            is_reassigned,
            None if request is None else (request.program, request.route),
            None if request is None else request.priority,
        )

    async def _deliver(
        self, coordinator: str, report: peer_messages.UsageReport
    ) -> peer_messages.Response | None:
        if coordinator == self._instance:
            response = self._accounts.handle_request(report)
            if asyncio.iscoroutine(response):
                response = await response
            return response
        address = self._find_address(coordinator)
        deadline = self._timers.now() + limit_accounts.READ_TIMEOUT_SECONDS
        return await self._peers.send_request(address, report, deadline)

    def _find_address(self, coordinator: str) -> str:
        return next(
            (
                peer.address
                for peer in self._eligible
                if peer.instance == coordinator
            ),
            '',
        )

    def _list_eligible(self) -> typing.Sequence[rendezvous.Peer]:
        """Return the instances that may be coordinators.

        If all instances are leaving, the one with the highest score remains
        the coordinator.
        """
        eligible = (
            self._membership.list_eligible()
            or self._membership.list_reachable()
        )
        if eligible is not self._eligible:
            self._eligible = eligible
            self._rankings.clear()
        return eligible

    def _is_cut_off(self) -> bool:
        """Return whether others may have a coordinator that is unreachable.

        Limited in time: if most instances are lost permanently, the remaining
        ones have to take over.
        """
        now = self._timers.now()
        if not self._is_isolated():
            self._cut_off_since = None
            return False
        if self._cut_off_since is None:
            self._cut_off_since = now
        return now - self._cut_off_since < MAX_ISOLATION_SECONDS

    def _find_coordinator(self, organisation: str) -> str | None:
        """Return the coordinator, skipping unresponsive instances.

        Return ``None`` if this instance is cut off from most others: the
        other side of the network partition has a coordinator of its own.
        """
        if self._is_cut_off():
            return None
        cutoff = self._timers.now() - UNRESPONSIVE_SECONDS
        for name in [
            instance
            for instance, failed_at in self._unresponsive.items()
            if failed_at < cutoff
        ]:
            del self._unresponsive[name]
        eligible = self._list_eligible()
        ranked = self._rankings.get(organisation)
        if ranked is None:
            highest = rendezvous.list_highest(
                KEY_PREFIX + organisation, eligible, MAX_RANKED
            )
            ranked = self._rankings[organisation] = [
                peer.instance for peer in highest
            ]
        for instance in ranked:
            if instance not in self._unresponsive:
                break
        else:
            return None
        # This instance does not take over for unresponsive instances: it may
        # be cut off from the others.
        is_replacement = instance == self._instance and instance != ranked[0]
        return None if is_replacement else instance
