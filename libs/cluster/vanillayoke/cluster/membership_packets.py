"""The choice of the updates that a message carries."""

import enum

import msgspec

from vanillayoke.cluster import membership_gossip
from vanillayoke.cluster import membership_table
from vanillayoke.cluster import messages

UPDATE_BUDGET_BYTES = 700
REPAIR_BUDGET_BYTES = 1500
JOIN_BUDGET_BYTES = 3000


class Need(enum.Enum):
    """How many member records the receiver of a message lacks."""

    NONE = 0
    SOME = 1
    MANY = 2


_FILLER_COUNTS = {Need.NONE: 2, Need.SOME: 12, Need.MANY: 80}
_BUDGETS = {
    Need.NONE: UPDATE_BUDGET_BYTES,
    Need.SOME: REPAIR_BUDGET_BYTES,
    Need.MANY: JOIN_BUDGET_BYTES,
}


class Composer:
    """Fills messages with updates, the most needed first."""

    def __init__(
        self,
        table: membership_table.Table,
        known_updates: membership_gossip.KnownUpdates,
        queue: membership_gossip.GossipQueue,
    ) -> None:
        self._table = table
        self._known_updates = known_updates
        self._queue = queue

    def compose(
        self,
        receiver: str,
        me: messages.Member | None = None,
        need: Need = Need.NONE,
    ) -> list[msgspec.Raw]:
        """Return the updates for a receiver, within a number of bytes.

        ``me`` is this instance's own record, if the receiver needs it.
        """
        updates = self._list_needed(receiver, me)
        budget_bytes = _BUDGETS[need] - _count_bytes(updates)
        queued = self._queue.take(budget_bytes, self._table.live + 1)
        budget_bytes -= _count_bytes(queued)
        return (
            updates
            + queued
            + self._list_fillers(budget_bytes, _FILLER_COUNTS[need])
        )

    def _list_needed(
        self, receiver: str, me: messages.Member | None
    ) -> list[msgspec.Raw]:
        needed: list[messages.Update] = []
        if me is not None:
            needed.append(messages.MemberUpdate(me))
        # Only the member itself can refute a suspicion, so it is always sent
        # its state, however long ago the update was spread.
        entry = self._table.find(receiver)
        if entry and entry.is_confirmed and _is_refutable(entry.member):
            needed.append(messages.MemberUpdate(entry.member))
        fenced = self._known_updates.find_fenced(receiver)
        if fenced is not None:
            needed.append(fenced)
        if self._known_updates.configuration > 0:
            version = self._known_updates.configuration
            needed.append(messages.ConfigurationUpdate(version))
        return [messages.encode_update(update) for update in needed]

    def _list_fillers(
        self, budget_bytes: int, count: int
    ) -> list[msgspec.Raw]:
        fillers = []
        for member in self._table.cycle(count):
            raw = messages.encode_update(messages.MemberUpdate(member))
            budget_bytes -= len(bytes(raw))
            if budget_bytes < 0:
                break
            fillers.append(raw)
        return fillers


def _count_bytes(updates: list[msgspec.Raw]) -> int:
    return sum(len(bytes(raw)) for raw in updates)


def _is_refutable(member: messages.Member) -> bool:
    return member.state in (
        messages.State.SUSPECTED,
        messages.State.FAILED,
        messages.State.LEFT,
    )
