"""Retries of calls to the store."""

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module

FIRST_PAUSE = 0.02
LONGEST_PAUSE = 0.4
# The timeout of an attempt made shortly before the deadline.
SHORTEST_TRY = 0.02
# The minimum of the timeout derived from the store's response times.
SHORTEST_PATIENCE = 0.25


async def commit(
    store: store_module.StoreClient,
    transaction: messages.Transaction,
    until: float,
    timer_service: timers.TimerService,
) -> messages.Committed | messages.Conflict:
    """Apply an idempotent transaction, with retries until the deadline.

    An attempt without a response may still take effect, but only while its
    conditions hold; the caller recognises its own write in a ``Conflict`` by
    the value of the row. Raise the last ``StoreError`` when the deadline
    passes or the store is unreachable.
    """
    pause = FIRST_PAUSE
    while True:
        left = until - timer_service.now()
        try:
            return await store.transact(
                transaction, max(SHORTEST_TRY, min(left, find_patience(store)))
            )
        except store_module.StoreError:
            pause = min(LONGEST_PAUSE, pause * 2)
            left = until - timer_service.now()
            if left <= pause or store.is_closed:
                raise
            await store.wait_open(pause)


def find_patience(store: store_module.StoreClient) -> float:
    """Return the timeout of one call to the store, in seconds."""
    return min(
        store_module.LONGEST_PATIENCE,
        max(SHORTEST_PATIENCE, store_module.PATIENCE_TIMES * store.usual_time),
    )
