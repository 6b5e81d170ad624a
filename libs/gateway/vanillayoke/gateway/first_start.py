"""Whether this process belongs to the first start of the whole system.

The settings say so, but a process that comes back may be given the same
settings. The claim therefore counts only once the store has confirmed it: this
process has created the row of its instance, and the rows of the others are
about as new. Before that, no requests are served, so that each process that
has served has left a row.
"""

import enum

import msgspec

from vanillayoke.core import decoding
from vanillayoke.core import timers
from vanillayoke.gateway import members
from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module

CREATION_TIMEOUT_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.1


class State(enum.Enum):
    """What is known of the claim."""

    UNDECIDED = 'undecided'
    CONFIRMED = 'confirmed'
    REFUTED = 'refuted'


class FirstStart:
    """Decides once whether the system has served before this process."""

    def __init__(
        self,
        is_claimed: bool,
        row: messages.InstanceRow,
        store: store_module.StoreClient,
        timer_service: timers.TimerService,
    ) -> None:
        self.state = State.UNDECIDED if is_claimed else State.REFUTED
        self._row = row
        self._store = store
        self._timers = timer_service
        self._started_at = timer_service.now()

    @property
    def is_decided(self) -> bool:
        """Whether requests may be served."""
        return self.state is not State.UNDECIDED

    async def decide(self) -> State:
        """Ask the store until it has responded; return the state."""
        while not self.is_decided:
            try:
                page = await self._store.read(
                    members.TABLE, '', CREATION_TIMEOUT_SECONDS
                )
                is_first = not any(map(self._is_older, page.rows))
                if is_first:
                    is_first = await self._create_row()
            except store_module.StoreError:
                await self._store.wait_before_retry(RETRY_PAUSE_SECONDS)
                continue
            age = self._timers.now() - self._started_at
            if is_first and age <= members.FIRST_START_SECONDS:
                self.state = State.CONFIRMED
            else:
                # Others may have served while the store was away.
                self.state = State.REFUTED
        return self.state

    def _is_older(self, row: messages.Row) -> bool:
        """Return whether a row is of an earlier process or start."""
        found = _decode(row)
        if found is None:
            return True
        if found.instance == self._row.instance:
            return found.incarnation != self._row.incarnation
        margin = 1000 * members.FIRST_START_SECONDS
        return found.incarnation < self._row.incarnation - margin

    async def _create_row(self) -> bool:
        """Create the row of this instance; return whether there was none."""
        key = messages.RowKey(members.TABLE, '', self._row.instance)
        outcome = await self._store.transact(
            messages.Transaction(
                ((key, 0),), ((key, msgspec.json.encode(self._row)),)
            ),
            CREATION_TIMEOUT_SECONDS,
        )
        match outcome:
            case messages.Conflict(rows):
                # The response to an earlier attempt may have been lost.
                return not any(map(self._is_older, rows))
        return True


def _decode(row: messages.Row) -> messages.InstanceRow | None:
    if row.value is None:
        return None
    try:
        return members.ROW_DECODER.decode(row.value)
    except decoding.DecodingError:
        return None
