"""Which news a message carries."""

import enum

import msgspec

from vanillayoke.cluster import membership_news
from vanillayoke.cluster import membership_table
from vanillayoke.cluster import messages

NEWS_BUDGET = 700
REPAIR_BUDGET = 1500
JOIN_BUDGET = 3000


class Need(enum.Enum):
    """How much of the table the receiver of a message lacks."""

    NOTHING = 0
    SOMETHING = 1
    MUCH = 2


_FILLER = {Need.NOTHING: 2, Need.SOMETHING: 12, Need.MUCH: 80}
_BUDGETS = {
    Need.NOTHING: NEWS_BUDGET,
    Need.SOMETHING: REPAIR_BUDGET,
    Need.MUCH: JOIN_BUDGET,
}


class Composer:
    """Fills messages with news, the most needed first."""

    def __init__(
        self,
        table: membership_table.Table,
        known: membership_news.KnownNews,
        queue: membership_news.NewsQueue,
    ) -> None:
        self._table = table
        self._known = known
        self._queue = queue

    def compose(
        self,
        receiver: str,
        me: messages.Member | None = None,
        need: Need = Need.NOTHING,
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
        needed: list[messages.News] = []
        if me is not None:
            needed.append(messages.MemberNews(me))
        # Only the member itself can refute a suspicion, so it is always told
        # what it is held for, however long ago the news went round.
        entry = self._table.find(receiver)
        if entry and entry.is_heard and _is_refutable(entry.member):
            needed.append(messages.MemberNews(entry.member))
        fenced = self._known.find_fenced(receiver)
        if fenced is not None:
            needed.append(fenced)
        if self._known.configuration > 0:
            version = self._known.configuration
            needed.append(messages.ConfigurationNews(version))
        return [messages.encode_news(news) for news in needed]

    def _fill(self, budget: int, count: int) -> list[msgspec.Raw]:
        filled = []
        for member in self._table.cycle(count):
            raw = messages.encode_news(messages.MemberNews(member))
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
