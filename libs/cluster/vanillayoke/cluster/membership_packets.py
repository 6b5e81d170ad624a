"""Which news a message carries."""

import enum

import msgspec

from vanillayoke.cluster import membership_gossip
from vanillayoke.cluster import membership_table
from vanillayoke.cluster import messages

UPDATE_BUDGET_BYTES = 700
REPAIR_BUDGET_BYTES = 1500
JOIN_BUDGET_BYTES = 3000


class Need(enum.Enum):
    """How much of the table the receiver of a message lacks."""

    NONE = 0
    SOME = 1
    MANY = 2


_FILLER = {Need.NONE: 2, Need.SOME: 12, Need.MANY: 80}
_BUDGETS = {
    Need.NONE: UPDATE_BUDGET_BYTES,
    Need.SOME: REPAIR_BUDGET_BYTES,
    Need.MANY: JOIN_BUDGET_BYTES,
}


class Composer:
    """Fills messages with news, the most needed first."""

    def __init__(
        self,
        table: membership_table.Table,
        known: membership_gossip.KnownUpdates,
        queue: membership_gossip.GossipQueue,
    ) -> None:
        self._table = table
        self._known = known
        self._queue = queue

    def compose(
        self,
        receiver: str,
        me: messages.Member | None = None,
        need: Need = Need.NONE,
    ) -> list[msgspec.Raw]:
        """Return the news for a receiver, within a number of bytes.

        ``me`` is this instance's own record where the receiver needs it.
        """
        news = self._list_needed(receiver, me)
        budget = _BUDGETS[need] - _measure(news)
        queued = self._queue.take(budget, self._table.live + 1)
        budget -= _measure(queued)
        return news + queued + self._fill(budget, _FILLER[need])

    def _list_needed(
        self, receiver: str, me: messages.Member | None
    ) -> list[msgspec.Raw]:
        needed: list[messages.Update] = []
        if me is not None:
            needed.append(messages.MemberUpdate(me))
        # Only the member itself can refute a suspicion, so it is always told
        # what it is held for, however long ago the news went round.
        entry = self._table.find(receiver)
        if entry and entry.is_confirmed and _is_refutable(entry.member):
            needed.append(messages.MemberUpdate(entry.member))
        fenced = self._known.find_fenced(receiver)
        if fenced is not None:
            needed.append(fenced)
        if self._known.configuration > 0:
            version = self._known.configuration
            needed.append(messages.ConfigurationUpdate(version))
        return [messages.encode_update(news) for news in needed]

    def _fill(self, budget: int, count: int) -> list[msgspec.Raw]:
        filled = []
        for member in self._table.cycle(count):
            raw = messages.encode_update(messages.MemberUpdate(member))
            budget -= len(bytes(raw))
            if budget < 0:
                break
            filled.append(raw)
        return filled


def _measure(news: list[msgspec.Raw]) -> int:
    return sum(len(bytes(raw)) for raw in news)


def _is_refutable(member: messages.Member) -> bool:
    return member.state in (
        messages.State.SUSPECTED,
        messages.State.FAILED,
        messages.State.LEFT,
    )
