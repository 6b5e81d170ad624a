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
TELL_DELAY = 0.25
# The share of the tolerance that all instances together may admit without
# reporting, assuming that each admits as many requests as this one.
UNTOLD_SHARE = 1.0 - quotas.SAVE_RATIO
# How long a response of the coordinator is valid.
STANDING_LIFETIME = 1.0
MOST_ASKED = 3
# How long an instance that did not respond is skipped.
SILENCE = 1.0
# Highest-ranked instances cached for each organisation.
MOST_RANKED = 8
# Retry delay of requests refused because no coordinator can be reached.
ALONE_PAUSE = 0.25
# How long an instance cut off from most others assumes that these still have
# a coordinator.
LONGEST_APART = 15.0


class Admission(typing.NamedTuple):
    """A request counted as used, and the time since it counts."""

    organisation: str
    request: quotas.AdmissionRequest
    at: float


class _Entry:
    """Requests admitted at one time, and whether they were reported."""

    __slots__ = ('at', 'asked', 'count', 'is_told')

    def __init__(
        self,
        at: float,
        asked: quotas.AdmissionRequest,
        count: int,
        is_told: bool,
    ) -> None:
        self.at = at
        self.asked = asked
        self.count = count
        self.is_told = is_told


class _Usage:
    """Requests of one organisation that this instance has admitted."""

    def __init__(self) -> None:
        self.entries: collections.deque[_Entry] = collections.deque()
        self.home: str | None = None
        self.has_moved = False
        self.is_close = False
        self.is_cut_off = False
        self.is_telling = False
        # When the coordinator last responded.
        self.answered_at = float('-inf')
        self.limit = quotas.Limit(0.0, 0.0, 0.0, 0.0)
        self.version = 0

    def add(
        self,
        at: float,
        asked: quotas.AdmissionRequest,
        count: int,
        is_told: bool = False,
    ) -> None:
        self.entries.append(_Entry(at, asked, count, is_told))

    def prune(self, limit: float) -> None:
        while self.entries and self.entries[0].at < limit:
            self.entries.popleft()

    def count(self) -> int:
        return sum(entry.count for entry in self.entries)

    def count_untold(self) -> int:
        found = 0
        for entry in reversed(self.entries):
            if entry.is_told:
                break
            found += abs(entry.count)
        return found

    def take_untold(self, is_whole: bool) -> list[_Entry]:
        """Return the entries to report and mark them as reported.

        ``is_whole`` includes those reported before.
        """
        found = []
        for entry in self.entries:
            if is_whole or not entry.is_told:
                found.append(entry)
                entry.is_told = True
        return found


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
        is_alone: typing.Callable[[], bool],
        draw: typing.Callable[[], float],
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
        self._is_alone = is_alone
        self._apart_since: float | None = None
        self._draw = draw
        self._peers: peers_module.Peers | None = None
        self._usages: dict[str, _Usage] = {}
        self._silent: dict[str, float] = {}
        self._members: typing.Sequence[rendezvous.Peer] = ()
        self._homes: dict[str, list[str]] = {}

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to other instances."""
        self._peers = peers

    async def admit(
        self,
        organisation: messages.Organisation | None,
        asked: quotas.AdmissionRequest,
        deadline: float,
    ) -> Admission | None:
        """Count a request as used; return ``None`` if there is no limit.

        A request of a program that has begun waits for room until the
        deadline. Raise ``RefusalError`` if the limit has no room.
        """
        if organisation is None or not organisation.rate:
            return None
        usage = self._open(organisation)
        now = self._timers.now()
        if self._must_ask(usage, now):
            await self._wait_for_room(
                organisation.name, usage, asked, deadline
            )
        else:
            usage.add(now, asked, 1)
            self._tell_in_time(organisation.name, usage)
        return Admission(organisation.name, asked, self._timers.now())

    def adjust(self, admission: Admission, count: int) -> None:
        """Count further runs of a request; -1 if it did not run."""
        usage = self._usages.get(admission.organisation)
        if usage is not None:
            usage.add(admission.at, admission.request, count)
            self._tell_soon(admission.organisation, usage)

    def prune(self) -> None:
        """Drop what has left the window; report to new coordinators."""
        now = self._timers.now()
        for name, usage in list(self._usages.items()):
            usage.prune(now - self._window)
            if not usage.entries:
                del self._usages[name]
            elif usage.home != self._find_home(name):
                self._tell_soon(name, usage)

    def _must_ask(self, usage: _Usage, now: float) -> bool:
        if usage.is_close or usage.is_cut_off:
            return True
        if now - usage.answered_at < STANDING_LIFETIME:
            return False
        count = len(self._list_members())
        return count > UNTOLD_SHARE * usage.limit.tolerance

    def _open(self, organisation: messages.Organisation) -> _Usage:
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
        asked: quotas.AdmissionRequest,
        deadline: float,
    ) -> None:
        """Ask until the request is admitted or can't be before the deadline.

        A program that has begun would fail with one of its requests.
        """
        while True:
            answer = await self._send(organisation, usage, asked)
            if answer is None:
                self._admit_alone(usage, asked)
                return
            if answer.refusal_reason is None:
                # The coordinator has counted the request already.
                usage.add(self._timers.now(), asked, 1, is_told=True)
                self._usages[organisation] = usage
                return
            now = self._timers.now()
            if answer.is_new_program or now + answer.retry_after > deadline:
                raise refusals.RefusalError(
                    refusals.Reason.OVER_LIMIT,
                    f'{answer.refusal_reason}; counted by {usage.home}',
                    answer.retry_after,
                )
            await self._timers.sleep(answer.retry_after)

    def _admit_alone(
        self, usage: _Usage, asked: quotas.AdmissionRequest
    ) -> None:
        """Admit this instance's even share of the tolerance.

        No coordinator responds, and the limit may be used up. A share of less
        than one request is the probability of admitting one.
        """
        count = max(1, len(self._list_members()))
        now = self._timers.now()
        usage.prune(now - self._window)
        share = UNTOLD_SHARE * usage.limit.tolerance / count
        if usage.count() + self._draw() > share:
            raise refusals.RefusalError(
                refusals.Reason.OVER_LIMIT,
                'no instance that counts the requests answers',
                ALONE_PAUSE,
            )
        usage.add(now, asked, 1)

    def _tell_in_time(self, organisation: str, usage: _Usage) -> None:
        count = usage.count_untold() * len(self._list_members())
        if count < UNTOLD_SHARE * usage.limit.tolerance:
            self._tell_soon(organisation, usage)
        else:
            self._spawn(self._send(organisation, usage, None))

    def _tell_soon(self, organisation: str, usage: _Usage) -> None:
        if not usage.is_telling:
            usage.is_telling = True
            self._spawn(self._tell(organisation, usage))

    async def _tell(self, organisation: str, usage: _Usage) -> None:
        await self._timers.sleep(TELL_DELAY)
        usage.is_telling = False
        is_moved = usage.home != self._find_home(organisation)
        if is_moved or usage.count_untold():
            await self._send(organisation, usage, None)

    async def _send(
        self,
        organisation: str,
        usage: _Usage,
        asked: quotas.AdmissionRequest | None,
    ) -> peer_messages.LimitStatus | None:
        """Report unreported requests to the coordinator; return its response.

        Return ``None`` if no instance responds.
        """
        for _ in range(MOST_ASKED):
            home = self._find_home(organisation)
            if home is None:
                break
            question = self._make_question(organisation, usage, home, asked)
            answer = await self._put(home, question)
            if isinstance(answer, peer_messages.LimitStatus):
                usage.is_close = answer.is_near_limit
                usage.is_cut_off = False
                usage.answered_at = self._timers.now()
                return answer
            self._silent[home] = self._timers.now()
            # It may have counted the requests or not: the next coordinator
            # gets a complete report.
            usage.home = None
            usage.has_moved = True
        usage.is_cut_off = True
        return None

    def _make_question(
        self,
        organisation: str,
        usage: _Usage,
        home: str,
        asked: quotas.AdmissionRequest | None,
    ) -> peer_messages.UsageReport:
        now = self._timers.now()
        usage.prune(now - self._window)
        is_whole = usage.home != home
        is_moved = is_whole and (usage.home is not None or usage.has_moved)
        usage.home = home
        return peer_messages.UsageReport(
            organisation,
            self._reporter,
            usage.limit,
            usage.version,
            tuple(
                peer_messages.UsageRecord(
                    round((now - entry.at) * 1000),
                    entry.asked.program,
                    entry.asked.route,
                    entry.count,
                )
                for entry in usage.take_untold(is_whole)
            ),
            is_whole,
            is_moved,
            None if asked is None else (asked.program, asked.route),
        )

    async def _put(
        self, home: str, question: peer_messages.UsageReport
    ) -> peer_messages.Response | None:
        if home == self._instance:
            answer = self._accounts.handle_request(question)
            if asyncio.iscoroutine(answer):
                answer = await answer
            return answer
        address = self._find_address(home)
        deadline = self._timers.now() + limit_accounts.READ_TIMEOUT_SECONDS
        return await self._peers.send_request(address, question, deadline)

    def _find_address(self, home: str) -> str:
        return next(
            (one.address for one in self._members if one.instance == home), ''
        )

    def _list_members(self) -> typing.Sequence[rendezvous.Peer]:
        """Return the instances that may be coordinators.

        If all instances are leaving, the one with the highest score remains
        the coordinator.
        """
        members = (
            self._membership.list_eligible()
            or self._membership.list_reachable()
        )
        if members is not self._members:
            self._members = members
            self._homes.clear()
        return members

    def _is_apart(self) -> bool:
        """Return whether others may have a coordinator that is unreachable.

        Limited in time: if most instances are lost permanently, the remaining
        ones have to take over.
        """
        now = self._timers.now()
        if not self._is_alone():
            self._apart_since = None
            return False
        if self._apart_since is None:
            self._apart_since = now
        return now - self._apart_since < LONGEST_APART

    def _find_home(self, organisation: str) -> str | None:
        """Return the coordinator, skipping unresponsive instances.

        Return ``None`` if this instance is cut off from most others: the
        other side of the network partition has a coordinator of its own.
        """
        if self._is_apart():
            return None
        limit = self._timers.now() - SILENCE
        for name in [one for one, at in self._silent.items() if at < limit]:
            del self._silent[name]
        members = self._list_members()
        ranked = self._homes.get(organisation)
        if ranked is None:
            best = rendezvous.list_highest(
                KEY_PREFIX + organisation, members, MOST_RANKED
            )
            ranked = self._homes[organisation] = [one.instance for one in best]
        for instance in ranked:
            if instance not in self._silent:
                break
        else:
            return None
        # This instance does not take over for unresponsive instances: it may
        # be cut off from the others.
        is_stand_in = instance == self._instance and instance != ranked[0]
        return None if is_stand_in else instance
