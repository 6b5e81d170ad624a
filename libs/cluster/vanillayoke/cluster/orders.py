"""The order book of one target: what it should be, and when to say so.

A target's row in the table holds the last accepted desired state. An order
is sent only after the row was written ``is_open`` by the sender; the row is
closed when the target itself reports the desired state and no order can be
on its way any more. So a closed row proves that nothing of an earlier giver
can still arrive.
"""

import typing

import msgspec

from vanillayoke.settings import process

ORDER_PREFIX = 'order/'
# An order that got no reply within these seconds is on its way no longer.
ORDER_DEADLINE = 5.0
SHORTEST_REPEAT = 1.0
LONGEST_REPEAT = 30.0

Models = typing.Mapping[str, str]


class DesiredState(msgspec.Struct, frozen=True):
    """What a target should be.

    ``models`` maps models to versions; it has those in ``ordered`` by an
    order and the others of its own. Those in ``absent`` must go. An empty
    ``role`` leaves the role as it is.
    """

    models: dict[str, str] = {}
    ordered: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()
    role: str = ''


class OrderRow(msgspec.Struct, frozen=True, kw_only=True):
    """A target's row: its desired state and who may be ordering it.

    ``number`` is the highest that any order under ``epoch`` carries.
    ``configuration`` is the version that the state was derived from.
    """

    desired: DesiredState = DesiredState()
    configuration: int = 0
    epoch: int = 0
    number: int = 0
    is_open: bool = False


class Wish(typing.NamedTuple):
    """What this instance would have of a target.

    ``models`` are to be loaded in any case, and those ``spare`` may go if
    an order brought them. ``known`` holds the version of every configured
    model that the target may have now. Loads of ``postponed`` models must
    not start yet.
    """

    models: frozenset[str]
    known: Models
    configuration: int
    spare: frozenset[str] = frozenset()
    postponed: frozenset[str] = frozenset()
    role: str = ''


class Reported(typing.NamedTuple):
    """What a target says of itself."""

    loaded: Models
    loading: Models
    role: str


class Step(typing.NamedTuple):
    """One order that brings a target nearer to its desired state."""

    kind: str
    subject: str
    version: str = ''


class WriteRow(typing.NamedTuple):
    """Write the row if it has the expected version, then give the steps.

    The steps may be given only once the write is known to have succeeded.
    """

    row: OrderRow
    expected: int
    steps: tuple[Step, ...] = ()

    def number_steps(self) -> list[tuple[int, Step]]:
        """Return the steps with the numbers reserved for them."""
        first = self.row.number - len(self.steps) + 1
        return list(enumerate(self.steps, first))


class OrderBook:
    """What a giver knows of one target's orders under its epoch.

    ``checks_epoch`` tells whether the target refuses an older epoch. Times
    are monotonic seconds of the giver.
    """

    def __init__(
        self, epoch: int, checks_epoch: bool, longest_activity: float
    ) -> None:
        self.epoch = epoch
        self._checks_epoch = checks_epoch
        self._longest_activity = longest_activity
        self._row: OrderRow | None = None
        self._version = 0
        self._wait_until = float('-inf')
        self._must_fence = False
        self._repeat_at = float('-inf')
        self._repeat_delay = SHORTEST_REPEAT
        self._settled_at = float('-inf')

    @classmethod
    def from_config(
        cls, lease: process.LeaseSettings, epoch: int, checks_epoch: bool
    ) -> 'OrderBook':
        """Build a book whose row has not been read."""
        longest = lease.time_to_live + lease.margin + ORDER_DEADLINE
        return cls(epoch, checks_epoch, longest)

    @property
    def row(self) -> OrderRow | None:
        """Return the row as last read or written, ``None`` before."""
        return self._row

    def note_read(self, row: OrderRow | None, version: int) -> None:
        """Take in the row as it stands in the table."""
        self._row = row or OrderRow()
        self._version = version

    def forget_row(self) -> None:
        """Have the row read again: a write of it conflicted or is in doubt."""
        self._row = None

    def note_written(self, row: OrderRow, version: int, now: float) -> None:
        """Take in that a write of the row succeeded.

        Where the row was open under an earlier epoch, an order of its giver
        may still be on its way: that giver may have been paused between its
        last check and the sending. A target that checks epochs refuses it
        once it has seen a later one; for any other this giver waits out the
        longest time in which it can arrive.
        """
        before = self._row
        if before is not None and before.is_open and before.epoch < row.epoch:
            self._must_fence = self._checks_epoch
            if not self._checks_epoch:
                self._wait_until = now + self._longest_activity
        self._row = row
        self._version = version

    def note_given(
        self, sent_at: float, accepted: bool, is_settled: bool
    ) -> None:
        """Take in how the orders sent at a time went; they may be repeated.

        ``is_settled``: all had a definite reply. Without one an order may
        still arrive, so that the row stays open until its deadline is over.
        """
        if accepted:
            self._must_fence = False
        if not is_settled:
            self._settled_at = sent_at + ORDER_DEADLINE
        self._repeat_at = sent_at + self._repeat_delay
        self._repeat_delay = min(2 * self._repeat_delay, LONGEST_REPEAT)

    def list_loads(self, wish: Wish, reported: Reported) -> list[Step]:
        """Return the loads that the target still needs."""
        if self._row is None:
            return []
        desired = merge_desired(self._row, wish, reported)
        return [
            step
            for step in list_steps(desired, reported)
            if step.kind == 'load'
        ]

    def decide(
        self, wish: Wish, reported: Reported, now: float
    ) -> WriteRow | None:
        """Return the write that has to come next, if any.

        ``None`` also where a later giver has written the row: this one has
        been replaced and must keep still.
        """
        row = self._row
        if row is None or row.epoch > self.epoch:
            return None
        if row.is_open and row.epoch < self.epoch:
            taken = msgspec.structs.replace(row, epoch=self.epoch, number=0)
            return WriteRow(taken, self._version)
        if now < self._wait_until:
            return None
        desired = merge_desired(row, wish, reported)
        planned = self._plan(row, desired, wish)
        steps = self._list_due(desired, wish, reported, now)
        if steps:
            return self._open(planned, steps)
        if is_confirmed(desired, reported):
            self._repeat_delay = SHORTEST_REPEAT
            if now >= self._settled_at:
                planned = msgspec.structs.replace(planned, is_open=False)
        if planned == row:
            return None
        return WriteRow(planned, self._version)

    def _plan(
        self, row: OrderRow, desired: DesiredState, wish: Wish
    ) -> OrderRow:
        if desired == row.desired:
            return row
        return msgspec.structs.replace(
            row,
            desired=desired,
            configuration=max(row.configuration, wish.configuration),
            epoch=self.epoch,
            number=self._find_number(row),
        )

    def _find_number(self, row: OrderRow) -> int:
        """Return the highest number used; they begin anew with an epoch."""
        return row.number if row.epoch == self.epoch else 0

    def _list_due(
        self, desired: DesiredState, wish: Wish, reported: Reported, now: float
    ) -> tuple[Step, ...]:
        is_new = self._row is not None and desired != self._row.desired
        if now < self._repeat_at and not is_new:
            return ()
        return tuple(
            step
            for step in list_steps(desired, reported, self._must_fence)
            if step.kind != 'load'
            or step.subject not in wish.postponed
            or reported.loaded.get(step.subject) == step.version
        )

    def _open(self, planned: OrderRow, steps: tuple[Step, ...]) -> WriteRow:
        opened = msgspec.structs.replace(
            planned,
            epoch=self.epoch,
            number=self._find_number(planned) + len(steps),
            is_open=True,
        )
        return WriteRow(opened, self._version, steps)


def merge_desired(
    row: OrderRow, wish: Wish, reported: Reported
) -> DesiredState:
    """Return what the target should be, given what it should have been.

    A giver whose configuration lags behind the row's keeps to the row: it
    would bring back what operators replaced. What the target has of the
    configured models it keeps, so that it gets them again after a restart.
    What it was ordered and nobody needs any more has to go; what it had of
    its own is never taken from it.
    """
    before = row.desired
    if wish.configuration < row.configuration:
        return before
    own = reported.loaded.keys() - set(before.absent)
    dropped = (wish.spare & set(before.ordered)) - wish.models
    names = (wish.models | before.models.keys() | own) - dropped
    models = {
        name: wish.known[name] for name in sorted(names & wish.known.keys())
    }
    new = wish.models - before.models.keys() - own
    absent = set(before.ordered) | set(before.absent)
    return DesiredState(
        models=models,
        ordered=tuple(sorted((set(before.ordered) | new) & models.keys())),
        absent=tuple(sorted(absent - models.keys())),
        role=wish.role or before.role,
    )


def list_steps(
    desired: DesiredState, reported: Reported, repeat: bool = False
) -> list[Step]:
    """Return the orders that are still missing.

    What is loaded or loading is not ordered again, unless ``repeat`` asks
    for it. A load of another version that goes on is overruled.
    """
    steps = []
    for model, version in desired.models.items():
        arriving = reported.loading.get(model, reported.loaded.get(model))
        if repeat or arriving != version:
            steps.append(Step('load', model, version))
    steps += [
        Step('unload', model)
        for model in desired.absent
        if repeat or model in reported.loaded or model in reported.loading
    ]
    if desired.role and (repeat or desired.role != reported.role):
        steps.append(Step('role', desired.role))
    return steps


def is_confirmed(desired: DesiredState, reported: Reported) -> bool:
    """Tell whether the target reports the whole desired state as reached."""
    if list_steps(desired, reported):
        return False
    return all(
        reported.loaded.get(model) == version and model not in reported.loading
        for model, version in desired.models.items()
    )


def name_order_row(target: str) -> str:
    """Return the key of a target's row."""
    return f'{ORDER_PREFIX}{target}'
