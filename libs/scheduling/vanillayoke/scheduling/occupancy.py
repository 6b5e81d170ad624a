"""How full targets are, from reports that age and work sent since.

Each answer reports the target's running and waiting requests as of that
moment. Many instances send to the same targets, so a report soon says little
about now; what this instance sent itself since then is exact.
"""

import collections
import typing

from vanillayoke.scheduling import health
from vanillayoke.scheduling import prefixes
from vanillayoke.scheduling import tallies
from vanillayoke.scheduling import verdicts as verdicts_module

# A report's weight halves within this time: about how long a short request
# runs. Seconds.
REPORT_HALF_LIFE = 0.5
# How long a target that shed work is passed over, if others are to be had.
# Seconds.
SHED_PAUSE = 0.05
# A failure is worth a report unless the target did well here within this
# time: one answer lost among good ones is no sickness. Seconds.
GOOD_MEMORY = 2.0


class Report(typing.NamedTuple):
    """What a target said of itself at a time."""

    running: int
    waiting: int
    slots: int


class Place(typing.NamedTuple):
    """A target that work may go to."""

    name: str
    slots: int
    zone: str


class _State:
    def __init__(self) -> None:
        self.under_way = 0
        self.reported = 0.0
        self.reported_at = float('-inf')
        self.own_at_report = 0
        self.slots: int | None = None
        self.shed_until = float('-inf')
        self.health = health.Health()
        self.good_at = float('-inf')


class Occupancy:
    """An instance's view of how much work its targets have.

    ``verdicts`` holds what all instances found out together; what is new of
    it goes to ``publish``. ``count_instances`` says how many there are.
    """

    def __init__(
        self,
        verdicts: verdicts_module.Verdicts | None = None,
        count_instances: typing.Callable[[], int] = lambda: 1,
        publish: typing.Callable[
            [verdicts_module.Verdict], None
        ] = lambda verdict: None,
    ) -> None:
        self._states: dict[str, _State] = {}
        self.verdicts = verdicts or verdicts_module.Verdicts('', lambda: 0.5)
        self._count_instances = count_instances
        self._publish = publish

    def begin(self, name: str) -> None:
        """Note that a request is sent."""
        self._find(name).under_way += 1

    def end(self, name: str) -> None:
        """Note that a request is over, however it ended."""
        self._find(name).under_way -= 1

    def report(self, name: str, report: Report, now: float) -> None:
        """Take what a target said of itself in an answer."""
        state = self._find(name)
        state.reported = report.running + report.waiting
        state.reported_at = now
        state.own_at_report = state.under_way
        state.slots = report.slots

    def note_shed(self, name: str, now: float) -> None:
        """Note that a target had no room."""
        self._find(name).shed_until = now + SHED_PAUSE

    def note_unreachable(self, name: str, now: float) -> None:
        """Note that a target takes no connection or says nothing at all."""
        self._find(name).health.note_unreachable(now)
        self._report(name, now)

    def note_outcome(self, name: str, is_good: bool, now: float) -> None:
        """Note how a request that a target took has ended there."""
        state = self._find(name)
        is_paused = state.health.note_outcome(is_good, now)
        if is_good:
            state.good_at = now
            self._tell(self.verdicts.note_good(name, now))
        elif is_paused or now - state.good_at > GOOD_MEMORY:
            self._report(name, now)

    def note_trial(self, name: str, now: float) -> None:
        """Note that a request is sent, which may be a sick target's trial."""
        self.verdicts.note_trial(name, now, self._count_instances())

    def _report(self, name: str, now: float) -> None:
        count = self._count_instances()
        self._tell(self.verdicts.report(name, now, count))

    def _tell(self, verdict: verdicts_module.Verdict | None) -> None:
        if verdict is not None:
            self._publish(verdict)

    def forget(self, names: typing.Container[str]) -> None:
        """Forget the targets that are not among ``names`` any more."""
        for name, state in list(self._states.items()):
            if name not in names and state.under_way <= 0:
                del self._states[name]
        self.verdicts.forget(names)

    def restart(self, name: str) -> None:
        """Forget what a target's former process did and had.

        Requests under way there stay counted until they end here.
        """
        state = self._states.pop(name, None)
        if state is not None and state.under_way > 0:
            self._find(name).under_way = state.under_way
        self.verdicts.restart(name)

    def estimate(self, name: str, now: float) -> float:
        """Return how many requests a target has about now."""
        state = self._states.get(name)
        if state is None:
            return 0.0
        age = max(0.0, now - state.reported_at)
        others = max(0.0, state.reported - state.own_at_report)
        return state.under_way + others * 0.5 ** (age / REPORT_HALF_LIFE)

    def fill(self, place: Place, now: float) -> float:
        """Return requests a slot at a target; over 1 means that some wait."""
        return self.estimate(place.name, now) / self.find_slots(place)

    def find_slots(self, place: Place) -> int:
        """Return how many requests a target works on at once."""
        state = self._states.get(place.name)
        if state is not None and state.slots:
            return state.slots
        return max(1, place.slots)

    def is_doubtful(self, name: str, now: float) -> bool:
        """Say whether a target is better left alone now."""
        if self.verdicts.is_sick(name, self._count_instances()):
            return not self.verdicts.may_try(name, now)
        state = self._states.get(name)
        if state is None:
            return False
        return state.health.is_doubtful(now, state.under_way)

    def has_shed(self, name: str, now: float) -> bool:
        """Say whether a target had no room a moment ago."""
        state = self._states.get(name)
        return state is not None and now < state.shed_until

    def _find(self, name: str) -> _State:
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = _State()
        return state


class Wish(typing.NamedTuple):
    """What a request would like of its place.

    ``favourite`` holds its session's cache; ``zone`` is the instance's own.
    ``slope`` is the share of its time by which each other request at its
    target slows it down. ``shared`` names the part that its prompt shares
    with others, and ``step`` is what each step down that part's order of
    targets costs. ``own`` is what its own part is worth where it is held.
    """

    favourite: str | None
    zone: str
    slope: float = 0.0
    shared: str | None = None
    step: float = 0.0
    own: float = 0.0


# A place that holds a session's cache is taken unless another one is emptier
# by this many requests a slot; reading the history again takes about the
# time of that much queueing.
FAVOURITE_LEAD = 0.25
# Places of the own zone are taken unless others are emptier by this much;
# bytes between zones cost.
ZONE_LEAD = 0.08
# Places of other zones are asked about once the best of the own zone is slower
# than idle by this share: it takes some of them to be that much quicker, for
# the bytes between zones and the questions.
FAR_COST = 0.25
# Below this fill nobody waits for a slot; what the others there cost is
# their share of each step, which is learned.
LIGHT_FILL = 0.4
# The share of places that have to be sound for the others to be left alone.
FEWEST_SOUND = 0.5
# Places that are about alike are drawn from, so that many instances with the
# same old view do not all send to one.
DRAW_WIDTH = 0.05


# How many places of the own zone, and then of others, are looked at closely
# for a request: of so many drawn at random, the emptiest seldom has a queue
# while any has room, and no two instances draw alike.
CANDIDATES = 3
# What a place without a free slot counts more than any with one: its requests
# wait for about half of another one's time.
FULL_PENALTY = 1.0


class Candidates(typing.NamedTuple):
    """Places worth asking about.

    ``near`` ones are asked first: the one with the session's cache and some
    of the own zone. ``far`` ones are worth it if no near one has room.
    """

    near: list[Place]
    far: list[Place]


def choose_candidates(
    places: typing.Sequence[Place],
    occupancy: Occupancy,
    wish: Wish,
    passed: typing.Container[str],
    now: float,
    draw: typing.Callable[[], float],
) -> Candidates:
    """Return the places worth asking about; none if there is none.

    Those in ``passed`` are out of the question. Doubtful ones are used only
    where too many are: one instance's view must not empty a service.
    """
    ready = _list_ready(places, occupancy, passed, now)
    ready.sort(key=lambda place: draw())
    if wish.step > 0:
        steps = find_steps(ready, wish)
        ready.sort(key=lambda place: steps[place.name])
    favourite = [place for place in ready if place.name == wish.favourite]
    others = [place for place in ready if place.name != wish.favourite]
    near = [place for place in others if place.zone == wish.zone]
    far = [place for place in others if place.zone != wish.zone]
    return Candidates(
        favourite + near[:CANDIDATES], near[CANDIDATES:] + far[:CANDIDATES]
    )


def find_steps(places: typing.Iterable[Place], wish: Wish) -> dict[str, int]:
    """Return how far down its zone's order each place is for a prefix.

    Each zone has an order of its own, so that each has engines that hold the
    prefix.
    """
    found: dict[str, int] = {}
    counts: collections.Counter[str] = collections.Counter()
    zones = {place.name: place.zone for place in places}
    for name in prefixes.order(wish.shared, zones):
        zone = zones[name]
        found[name] = min(counts[zone], prefixes.MOST_STEPS)
        counts[zone] += 1
    return found


def _list_ready(
    places: typing.Sequence[Place],
    occupancy: Occupancy,
    passed: typing.Container[str],
    now: float,
) -> list[Place]:
    """Return the places that do their work and have not just shed some."""
    usable = [place for place in places if place.name not in passed]
    sound = [one for one in usable if not occupancy.is_doubtful(one.name, now)]
    if len(sound) < FEWEST_SOUND * len(usable):
        sound = usable
    return [one for one in sound if not occupancy.has_shed(one.name, now)]


def is_light(
    place: Place,
    loads: typing.Mapping[str, tallies.Load],
    view: Occupancy,
    wish: Wish,
) -> bool:
    """Say whether a place is so quick that no other need be looked at.

    It has a free slot, works at its usual pace, and its other requests do
    not slow it down by more than what a place farther off costs.
    """
    load = loads.get(place.name)
    if load is None or load.slowness != 1.0:
        return False
    is_quick = wish.slope * load.requests < FAR_COST
    return load.requests < view.find_slots(place) and is_quick


def choose_counted(
    places: typing.Sequence[Place],
    loads: typing.Mapping[str, tallies.Load],
    occupancy: Occupancy,
    wish: Wish,
    now: float,
    draw: typing.Callable[[], float],
) -> Place | None:
    """Return the best of a few places by how much work they have.

    Those without a load are judged by this instance's own view. A place that
    is so many times slower than usual is as good as one that has so many
    times the requests.
    """
    best = None
    lowest = 0.0
    steps = find_steps(places, wish) if wish.step > 0 else {}
    for place in places:
        slots = occupancy.find_slots(place)
        load = loads.get(place.name)
        if load is None:
            load = tallies.Load(occupancy.estimate(place.name, now))
        score = max(LIGHT_FILL, load.requests / slots)
        score += wish.slope * load.requests
        if load.requests >= slots:
            score += FULL_PENALTY
        score = score * load.slowness + DRAW_WIDTH * draw()
        if place.name == wish.favourite:
            score -= FAVOURITE_LEAD + wish.own
        else:
            score += wish.step * steps.get(place.name, 0)
        if place.zone == wish.zone:
            score -= ZONE_LEAD
        if best is None or score < lowest:
            best, lowest = place, score
    return best


def choose_place(
    places: typing.Sequence[Place],
    occupancy: Occupancy,
    wish: Wish,
    passed: typing.Container[str],
    now: float,
    draw: typing.Callable[[], float],
) -> Place | None:
    """Return the best place by this instance's own view alone.

    This is how places are judged whose homes do not answer.
    """
    ready = _list_ready(places, occupancy, passed, now)
    return choose_counted(ready, {}, occupancy, wish, now, draw)
