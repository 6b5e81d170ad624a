"""Tracking and release of the programs' prefixes in the engines' caches."""

import heapq
import math
import typing

from vanillayoke.scheduling import admission
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import lifetimes
from vanillayoke.scheduling import placement
from vanillayoke.scheduling import policies
from vanillayoke.scheduling import releases
from vanillayoke.scheduling import trees
from vanillayoke.scheduling import views

_RECHECK_SECONDS = 1.0
_FULL_RATIO = 0.9


class _Pause(typing.NamedTuple):
    """A tool call after which a program's cached prefix is to be checked.

    ``at`` is the time of the check, ``number`` counts the program's pauses.
    """

    at: float
    program: str
    number: int


class Memory:
    """What engines are assumed to cache for this instance's programs."""

    def __init__(
        self,
        policy: policies.CacheLifetime,
        targets: views.TargetIndex,
        forest: trees.Forest,
    ) -> None:
        self._policy = policy
        self._targets = targets
        self._forest = forest
        self._lifetimes = lifetimes.Lifetimes()
        self._releases = releases.PendingReleases()
        self._pauses: list[_Pause] = []

    def set_policy(self, policy: policies.CacheLifetime) -> None:
        """Replace the policy for future pauses."""
        self._policy = policy

    def set_cached(
        self, member: trees.Member, target: str, tokens: int
    ) -> None:
        """Set the number of tokens that a target caches for a program."""
        old = self._targets.get(member.target)
        if old is not None:
            old.own_cache_tokens -= member.cached
        member.target = target
        member.cached = tokens
        new = self._targets.get(target)
        if new is not None:
            new.own_cache_tokens += tokens
            member.event_gaps = new.event_gaps

    def record_sent(
        self,
        member: trees.Member,
        demand: calls.CallDemand,
        target: str,
        now: float,
    ) -> None:
        """Record that a call is sent to a target."""
        member.touched_at = now
        if member.target not in ('', target):
            self._releases.release(member.target, member.program, -math.inf)
        tokens = demand.prefix_tokens + demand.new_tokens
        tokens += demand.output_tokens
        self.set_cached(member, target, tokens)
        member.tokens = tokens
        member.calls += 1
        member.exported = False
        self._releases.hold(target, member.program)

    def record_outcome(
        self, member: trees.Member, outcome: calls.Outcome, now: float
    ) -> None:
        """Record the outcome of a call and what it left in the cache."""
        member.touched_at = now
        member.calls -= 1
        if member.target != outcome.target:
            return
        tokens = 0
        if outcome.state == 'answered':
            tokens = outcome.prompt_tokens + outcome.output_tokens
            member.tokens = tokens
        self.set_cached(member, outcome.target, tokens)

    def record_pause(
        self, member: trees.Member, tool: str, now: float
    ) -> None:
        """Record that a program waits for a tool."""
        member.tool = tool
        member.paused_at = now
        member.pauses += 1
        match self._policy:
            case policies.KeepCache():
                return
            case policies.LearnedReturn(exports):
                limit = self._find_limit(member, exports)
        if not math.isinf(limit):
            pause = _Pause(now + limit, member.program, member.pauses)
            heapq.heappush(self._pauses, pause)

    def record_return(self, member: trees.Member, now: float) -> None:
        """Record that a program continues after a tool call."""
        if member.paused_at is None:
            return
        self._lifetimes.observe(member.tool, now - member.paused_at)
        member.paused_at = None

    def record_eviction(self, target: str, program: str, tokens: int) -> None:
        """Record that a target has only ``tokens`` of a program left.

        Events arrive late. While a call of the program runs on the target, it
        has already filled the cache again, and the event is ignored.
        """
        member = self._forest.get(program)
        if member is None:
            if tokens == 0:
                self._releases.confirm(target, program)
        elif member.target == target and member.calls == 0:
            self.set_cached(member, target, min(member.cached, tokens))

    def record_gap(self, target: str) -> None:
        """Record that cache events of a target were lost.

        This lowers the confidence in what the target is assumed to cache.
        """
        view = self._targets.get(target)
        if view is not None:
            view.event_gaps += 1

    def reconcile(
        self, target: str, sessions: dict[str, int], asked_at: float
    ) -> None:
        """Update the state with a target's own list of cached sessions.

        This corrects the effects of lost events: a lost eviction would
        attract calls to a cache without the prefix, and a lost confirmation
        would cause a release to be repeated for ever.
        """
        for member in self._forest.list_members():
            if member.target != target or member.calls:
                continue
            if member.touched_at < asked_at:
                tokens = sessions.get(member.program, 0)
                self.set_cached(member, target, tokens)
        for program in self._releases.list_due_programs(target, asked_at):
            if program not in sessions:
                self._releases.confirm(target, program)

    def hold(self, target: str, program: str) -> None:
        """Record that a target may hold memory of a program."""
        self._releases.hold(target, program)

    def release_all(self, program: str, now: float) -> None:
        """Request the release of all memory of an ended program."""
        self._releases.release_all(program, now)

    def confirm(self, target: str, program: str) -> None:
        """Record that a target released a program's memory."""
        self._releases.confirm(target, program)

    def drop_target(self, target: str) -> None:
        """Discard a target that is no longer configured."""
        self._releases.drop_target(target)

    def list_holders(self, program: str) -> frozenset[str]:
        """Return the targets that may hold memory of a program."""
        return self._releases.list_holders(program)

    def list_decisions(
        self, now: float, programs_wait: bool
    ) -> list[calls.Decision]:
        """Return the releases and exports that are due."""
        decisions: list[calls.Decision] = []
        while self._pauses and self._pauses[0].at <= now:
            pause = heapq.heappop(self._pauses)
            decision = self._handle_pause(pause, now, programs_wait)
            if decision is not None:
                decisions.append(decision)
        return decisions + self._releases.list_due(now)

    def next_wake(self) -> float | None:
        """Return when the next release or check of a pause is due."""
        times = [self._releases.next_wake()]
        if self._pauses:
            times.append(self._pauses[0].at)
        return min((at for at in times if at is not None), default=None)

    def _find_limit(self, member: trees.Member, exports: bool) -> float:
        view = self._targets.get(member.target)
        if view is None:
            return math.inf
        # While memory is short, keeping one token for a second costs
        # 1 / cache_tokens seconds of engine time. Beyond the break-even time,
        # keeping it costs more than restoring it.
        cost = placement.PREFILL_SECONDS
        if exports:
            cost = placement.RESTORE_SECONDS
        break_even = view.spec.cache_tokens * cost
        return self._lifetimes.find_limit(member.tool, break_even)

    def _handle_pause(
        self, pause: _Pause, now: float, programs_wait: bool
    ) -> calls.Decision | None:
        member = self._forest.get(pause.program)
        if member is None or member.paused_at is None:
            return None
        if member.pauses != pause.number or not member.cached:
            return None
        view = self._targets.get(member.target)
        if view is None:
            return None
        if not programs_wait and not _is_full(view):
            again = pause._replace(at=now + _RECHECK_SECONDS)
            heapq.heappush(self._pauses, again)
            return None
        self.set_cached(member, member.target, 0)
        match self._policy:
            case policies.LearnedReturn(exports=True):
                member.exported = True
                return calls.CacheExport(member.target, member.program)
        self._releases.release(member.target, member.program, now)
        return None


def _is_full(view: views.TargetView) -> bool:
    free = view.estimate_free_cache() - admission.EXPECTED_TOKENS
    return free < (1 - _FULL_RATIO) * view.spec.cache_tokens
