"""News that ride on membership messages: what is new, what is sent next."""

import math
import typing

import msgspec

from vanillayoke.cluster import messages

REPEAT_FACTOR = 3
TARGET_NEWS_LIFETIME_MS = 30_000
MAX_TARGETS = 2000


class _Queued:
    """News waiting to be sent some more times."""

    def __init__(self, encoded: msgspec.Raw, order: int) -> None:
        self.encoded = encoded
        self.size = len(bytes(encoded))
        self.order = order
        self.sent = 0


class NewsQueue:
    """Picks the news for each message within a number of bytes.

    Each piece of news is sent a few times the logarithm of the number of
    members, which reaches all of them with high probability, and is then
    dropped. News of the same subject replaces what was queued.
    """

    def __init__(self) -> None:
        self._queued: dict[tuple[str, str], _Queued] = {}
        self._order = 0

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, news: messages.News) -> None:
        """Queue news in place of older news of its subject."""
        self._order += 1
        encoded = messages.encode_news(news)
        self._queued[get_subject(news)] = _Queued(encoded, self._order)

    def take(self, budget: int, members: int) -> list[msgspec.Raw]:
        """Return the news that were sent least, newest first."""
        limit = REPEAT_FACTOR * math.ceil(math.log2(members + 1))
        ranked = sorted(
            self._queued.items(),
            key=lambda item: (item[1].sent, -item[1].order),
        )
        taken = []
        for subject, queued in ranked:
            if queued.size > budget:
                continue
            budget -= queued.size
            taken.append(queued.encoded)
            queued.sent += 1
            if queued.sent >= limit:
                del self._queued[subject]
        return taken


def get_subject(news: messages.News) -> tuple[str, str]:
    """Return what news is about; later news of it replaces earlier."""
    match news:
        case messages.MemberNews(member):
            return ('member', member.instance)
        case messages.ConfigurationNews():
            return ('configuration', '')
        case messages.TargetNews(target):
            return ('target', target)
        case messages.FencedNews(instance):
            return ('fenced', instance)
    typing.assert_never(news)


class KnownNews:
    """What this instance knows besides the members."""

    def __init__(self) -> None:
        self.configuration = 0
        self._targets: dict[str, messages.TargetNews] = {}
        self._fenced: dict[str, messages.FencedNews] = {}

    def learn(self, news: messages.News) -> bool:
        """Take news over; return whether it was new."""
        match news:
            case messages.ConfigurationNews(version):
                return self._learn_configuration(version)
            case messages.TargetNews():
                return self._learn_target(news)
            case messages.FencedNews():
                return self._learn_fenced(news)
        return False

    def find_fenced(self, instance: str) -> messages.FencedNews | None:
        """Return what is known of an instance having been fenced."""
        return self._fenced.get(instance)

    def _learn_configuration(self, version: int) -> bool:
        if version <= self.configuration:
            return False
        self.configuration = version
        return True

    def _learn_target(self, news: messages.TargetNews) -> bool:
        known = self._targets.pop(news.target, None)
        if known is not None and not _is_later(news, known):
            self._targets[news.target] = known
            return False
        self._targets[news.target] = news
        if len(self._targets) > MAX_TARGETS:
            del self._targets[next(iter(self._targets))]
        return True

    def _learn_fenced(self, news: messages.FencedNews) -> bool:
        known = self._fenced.get(news.instance)
        if known is not None and known.incarnation >= news.incarnation:
            return False
        self._fenced[news.instance] = news
        return True


def _is_later(news: messages.TargetNews, known: messages.TargetNews) -> bool:
    # Every instance that uses a target sees it fail. If each observation
    # counted as news, 400 of them would push all other news out of the
    # packets; a repeated observation counts only after a while.
    if news.state is known.state:
        return news.observed > known.observed + TARGET_NEWS_LIFETIME_MS
    return news.observed > known.observed
