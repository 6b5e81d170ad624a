"""The gossip of membership messages: known and queued updates."""

import math
import typing

import msgspec

from vanillayoke.cluster import messages

REPEAT_FACTOR = 3
TARGET_UPDATE_LIFETIME_MS = 30_000
MAX_TARGETS = 2000
MAX_FENCED = 1000


Subject = tuple[str, str]


class GossipQueue:
    """Selects the updates for each message within a number of bytes.

    Each update is sent a multiple of the logarithm of the number of members,
    which reaches all of them with high probability, and is then dropped. An
    update replaces queued ones of the same subject.
    """

    def __init__(self) -> None:
        # One dictionary per number of times sent, in the order of arrival, so
        # that the cost of selecting does not depend on the queue's length.
        self._rounds: list[dict[Subject, msgspec.Raw]] = [{}]

    def __len__(self) -> int:
        return sum(len(queued) for queued in self._rounds)

    def put(self, update: messages.Update) -> None:
        """Queue an update in place of a queued one of its subject."""
        subject = get_subject(update)
        for queued in self._rounds:
            queued.pop(subject, None)
        self._rounds[0][subject] = messages.encode_update(update)

    def take(self, budget_bytes: int, members: int) -> list[msgspec.Raw]:
        """Return the updates sent least often, the newest first."""
        self._resize_rounds(members)
        selected: list[tuple[int, Subject]] = []
        for round_index, subject, size in self._walk():
            if size <= budget_bytes:
                budget_bytes -= size
                selected.append((round_index, subject))
            elif selected:
                break
        return [
            self._advance(round_index, subject)
            for round_index, subject in selected
        ]

    def _walk(self) -> typing.Iterator[tuple[int, Subject, int]]:
        for round_index, queued in enumerate(self._rounds):
            for subject in reversed(queued):
                yield round_index, subject, len(bytes(queued[subject]))

    def _resize_rounds(self, members: int) -> None:
        limit = REPEAT_FACTOR * math.ceil(math.log2(members + 1))
        del self._rounds[limit:]
        while len(self._rounds) < limit:
            self._rounds.append({})

    def _advance(self, round_index: int, subject: Subject) -> msgspec.Raw:
        encoded = self._rounds[round_index].pop(subject)
        if round_index + 1 < len(self._rounds):
            self._rounds[round_index + 1][subject] = encoded
        return encoded


def get_subject(update: messages.Update) -> Subject:
    """Return what an update is about; a later one replaces an earlier."""
    match update:
        case messages.MemberUpdate(member):
            return ('member', member.instance)
        case messages.ConfigurationUpdate():
            return ('configuration', '')
        case messages.TargetUpdate(target):
            return ('target', target)
        case messages.FencedUpdate(_, incarnation):
            return ('fenced', incarnation)
    typing.assert_never(update)


class KnownUpdates:
    """The updates known to this instance other than those of members."""

    def __init__(self) -> None:
        self.configuration = 0
        self._targets: dict[str, messages.TargetUpdate] = {}
        self._fenced: dict[str, messages.FencedUpdate] = {}

    def learn(self, update: messages.Update) -> bool:
        """Apply an update; return whether it was new."""
        match update:
            case messages.ConfigurationUpdate(version):
                return self._learn_configuration(version)
            case messages.TargetUpdate():
                return self._learn_target(update)
            case messages.FencedUpdate():
                return self._learn_fenced(update)
        return False

    def find_fenced(self, instance: str) -> messages.FencedUpdate | None:
        """Return the last update that an instance's lease was taken over."""
        for update in reversed(self._fenced.values()):
            if update.instance == instance:
                return update
        return None

    def _learn_configuration(self, version: int) -> bool:
        if version <= self.configuration:
            return False
        self.configuration = version
        return True

    def _learn_target(self, update: messages.TargetUpdate) -> bool:
        current = self._targets.pop(update.target, None)
        if current is not None and not _is_later(update, current):
            self._targets[update.target] = current
            return False
        self._targets[update.target] = update
        if len(self._targets) > MAX_TARGETS:
            del self._targets[next(iter(self._targets))]
        return True

    def _learn_fenced(self, update: messages.FencedUpdate) -> bool:
        if update.incarnation in self._fenced:
            return False
        self._fenced[update.incarnation] = update
        if len(self._fenced) > MAX_FENCED:
            del self._fenced[next(iter(self._fenced))]
        return True


def _is_later(
    update: messages.TargetUpdate, current: messages.TargetUpdate
) -> bool:
    # Every instance that uses a target sees it fail. So that its observations
    # don't crowd out other updates, one of the same state is new only after
    # TARGET_UPDATE_LIFETIME_MS.
    if update.state is current.state:
        return update.observed > current.observed + TARGET_UPDATE_LIFETIME_MS
    return update.observed > current.observed
