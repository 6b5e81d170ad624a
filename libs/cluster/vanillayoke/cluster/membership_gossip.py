"""News that ride on membership messages: what is new, what is sent next."""

import math
import typing

import msgspec

from vanillayoke.cluster import messages

REPEAT_FACTOR = 3
TARGET_NEWS_LIFETIME_MS = 30_000
MAX_TARGETS = 2000
MAX_FENCED = 1000


Subject = tuple[str, str]


class GossipQueue:
    """Picks the news for each message within a number of bytes.

    Each piece of news is sent a few times the logarithm of the number of
    members, which reaches all of them with high probability, and is then
    dropped. News of the same subject replaces what was queued.
    """

    def __init__(self) -> None:
        # One dictionary per number of times sent, in the order of arrival:
        # picking costs what is picked, also while hundreds join at once.
        self._rounds: list[dict[Subject, msgspec.Raw]] = [{}]

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._rounds)

    def put(self, news: messages.Update) -> None:
        """Queue news in place of older news of its subject."""
        subject = get_subject(news)
        for waiting in self._rounds:
            waiting.pop(subject, None)
        self._rounds[0][subject] = messages.encode_update(news)

    def take(self, budget: int, members: int) -> list[msgspec.Raw]:
        """Return the news that were sent least, newest first."""
        self._limit_rounds(members)
        taken: list[tuple[int, Subject]] = []
        for place, subject, size in self._walk():
            if size <= budget:
                budget -= size
                taken.append((place, subject))
            elif taken:
                break
        return [self._advance(place, subject) for place, subject in taken]

    def _walk(self) -> typing.Iterator[tuple[int, Subject, int]]:
        for place, waiting in enumerate(self._rounds):
            for subject in reversed(waiting):
                yield place, subject, len(bytes(waiting[subject]))

    def _limit_rounds(self, members: int) -> None:
        limit = REPEAT_FACTOR * math.ceil(math.log2(members + 1))
        del self._rounds[limit:]
        while len(self._rounds) < limit:
            self._rounds.append({})

    def _advance(self, place: int, subject: Subject) -> msgspec.Raw:
        encoded = self._rounds[place].pop(subject)
        if place + 1 < len(self._rounds):
            self._rounds[place + 1][subject] = encoded
        return encoded


def get_subject(news: messages.Update) -> Subject:
    """Return what news is about; later news of it replaces earlier."""
    match news:
        case messages.MemberUpdate(member):
            return ('member', member.instance)
        case messages.ConfigurationUpdate():
            return ('configuration', '')
        case messages.TargetUpdate(target):
            return ('target', target)
        case messages.FencedUpdate(_, incarnation):
            return ('fenced', incarnation)
    typing.assert_never(news)


class KnownUpdates:
    """What this instance knows besides the members."""

    def __init__(self) -> None:
        self.configuration = 0
        self._targets: dict[str, messages.TargetUpdate] = {}
        self._fenced: dict[str, messages.FencedUpdate] = {}

    def learn(self, news: messages.Update) -> bool:
        """Take news over; return whether it was new."""
        match news:
            case messages.ConfigurationUpdate(version):
                return self._learn_configuration(version)
            case messages.TargetUpdate():
                return self._learn_target(news)
            case messages.FencedUpdate():
                return self._learn_fenced(news)
        return False

    def find_fenced(self, instance: str) -> messages.FencedUpdate | None:
        """Return the last news that an instance's lease was taken."""
        for news in reversed(self._fenced.values()):
            if news.instance == instance:
                return news
        return None

    def _learn_configuration(self, version: int) -> bool:
        if version <= self.configuration:
            return False
        self.configuration = version
        return True

    def _learn_target(self, news: messages.TargetUpdate) -> bool:
        known = self._targets.pop(news.target, None)
        if known is not None and not _is_later(news, known):
            self._targets[news.target] = known
            return False
        self._targets[news.target] = news
        if len(self._targets) > MAX_TARGETS:
            del self._targets[next(iter(self._targets))]
        return True

    def _learn_fenced(self, news: messages.FencedUpdate) -> bool:
        if news.incarnation in self._fenced:
            return False
        self._fenced[news.incarnation] = news
        if len(self._fenced) > MAX_FENCED:
            del self._fenced[next(iter(self._fenced))]
        return True


def _is_later(
    news: messages.TargetUpdate, known: messages.TargetUpdate
) -> bool:
    # Every instance that uses a target sees it fail. If each observation
    # counted as news, 400 of them would push all other news out of the
    # packets; a repeated observation counts only after a while.
    if news.state is known.state:
        return news.observed > known.observed + TARGET_NEWS_LIFETIME_MS
    return news.observed > known.observed
