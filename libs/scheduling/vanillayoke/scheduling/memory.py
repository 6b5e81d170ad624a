"""Engine memory of this instance's programs: where it is, how long."""

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
_FULL = 0.9


class _Pause(typing.NamedTuple):
    """A tool pause whose memory is looked at again at a time."""

    at: float
    program: str
    number: int


class Memory:
    """What engines hold for this instance's programs, as far as known."""

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
        self._releases = releases.ReleaseBook()
        self._pauses: list[_Pause] = []

    def set_policy(self, policy: policies.CacheLifetime) -> None:
        """Keep what is cached by another policy from now on."""
        self._policy = policy

    def set_cached(
        self, member: trees.Member, target: str, tokens: int
    ) -> None:
        """Take over what a target is believed to hold for a program."""
        old = self._targets.get(member.home)
        if old is not None:
            old.kept -= member.cached
        member.home = target
        member.cached = tokens
        new = self._targets.get(target)
        if new is not None:
            new.kept += tokens
            member.gaps = new.gaps

    def note_sent(
        self,
        member: trees.Member,
        demand: calls.CallDemand,
        target: str,
        now: float,
    ) -> None:
        """Take in that a call goes to a target."""
        member.touched_at = now
        if member.home not in ('', target):
            self._releases.release(member.home, member.program, -math.inf)
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
        """Take in what a call left behind."""
        member.touched_at = now
        member.calls -= 1
        if member.home != outcome.target:
            return
        tokens = 0
        if outcome.state == 'answered':
            tokens = outcome.prompt_tokens + outcome.output_tokens
            member.tokens = tokens
        self.set_cached(member, outcome.target, tokens)

    def note_pause(self, member: trees.Member, tool: str, now: float) -> None:
        """Take in that a program waits for a tool."""
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

    def note_return(self, member: trees.Member, now: float) -> None:
        """Take in that a program is back from its tool."""
        if member.paused_at is None:
            return
        self._lifetimes.observe(member.tool, now - member.paused_at)
        member.paused_at = None

    def note_evicted(self, target: str, program: str, tokens: int) -> None:
        """Take in that a target has only ``tokens`` left of a program.

        Events are late: while a call of the program is there, the event is
        about what the call has since built up again.
        """
        member = self._forest.get(program)
        if member is None:
            if tokens == 0:
                self._releases.confirm(target, program)
        elif member.home == target and member.calls == 0:
            self.set_cached(member, target, min(member.cached, tokens))

    def note_gap(self, target: str) -> None:
        """Trust what is believed of a target's memory a little less."""
        view = self._targets.get(target)
        if view is not None:
            view.gaps += 1

    def reconcile(
        self, target: str, sessions: dict[str, int], asked_at: float
    ) -> None:
        """Correct what is believed by a target's own list.

        An eviction whose event was lost would otherwise draw a program to
        an empty cache, and a lost confirmation would keep a release alive
        for ever.
        """
        for member in self._forest.list_members():
            if member.home != target or member.calls:
                continue
            if member.touched_at < asked_at:
                tokens = sessions.get(member.program, 0)
                self.set_cached(member, target, tokens)
        for program in self._releases.list_due_programs(target, asked_at):
            if program not in sessions:
                self._releases.confirm(target, program)

    def hold(self, target: str, program: str) -> None:
        """Note that a target may hold memory for a program."""
        self._releases.hold(target, program)

    def release_all(self, program: str, now: float) -> None:
        """Ask for all memory of an ended program to be freed."""
        self._releases.release_all(program, now)

    def confirm(self, target: str, program: str) -> None:
        """Take in that a target freed a program's memory."""
        self._releases.confirm(target, program)

    def drop_target(self, target: str) -> None:
        """Forget a target that is no longer configured."""
        self._releases.drop_target(target)

    def list_holders(self, program: str) -> frozenset[str]:
        """Return the targets that may hold memory for a program."""
        return self._releases.list_holders(program)

    def list_orders(
        self, now: float, programs_wait: bool
    ) -> list[calls.Decision]:
        """Return the releases and exports to give now."""
        orders: list[calls.Decision] = []
        while self._pauses and self._pauses[0].at <= now:
            pause = heapq.heappop(self._pauses)
            order = self._look_at(pause, now, programs_wait)
            if order is not None:
                orders.append(order)
        return orders + self._releases.list_due(now)

    def next_wake(self) -> float | None:
        """Return when the next release or look at a pause is due."""
        times = [self._releases.next_wake()]
        if self._pauses:
            times.append(self._pauses[0].at)
        return min((at for at in times if at is not None), default=None)

    def _find_limit(self, member: trees.Member, exports: bool) -> float:
        view = self._targets.get(member.home)
        if view is None:
            return math.inf
        # While memory is short, an engine earns one second of work with all
        # of its memory, so a token is worth its part of that second. Where
        # the pause costs more than bringing the tokens back, they go.
        cost = placement.PREFILL_SECONDS
        if exports:
            cost = placement.RESTORE_SECONDS
        break_even = view.spec.cache_tokens * cost
        return self._lifetimes.find_limit(member.tool, break_even)

    def _look_at(
        self, pause: _Pause, now: float, programs_wait: bool
    ) -> calls.Decision | None:
        member = self._forest.get(pause.program)
        if member is None or member.paused_at is None:
            return None
        if member.pauses != pause.number or not member.cached:
            return None
        view = self._targets.get(member.home)
        if view is None:
            return None
        if not programs_wait and not _is_full(view):
            again = pause._replace(at=now + _RECHECK_SECONDS)
            heapq.heappush(self._pauses, again)
            return None
        self.set_cached(member, member.home, 0)
        match self._policy:
            case policies.LearnedReturn(exports=True):
                member.exported = True
                return calls.CacheExport(member.home, member.program)
        self._releases.release(member.home, member.program, now)
        return None


def _is_full(view: views.TargetView) -> bool:
    room = view.estimate_room() - admission.EXPECTED_TOKENS
    return room < (1 - _FULL) * view.spec.cache_tokens
