"""Trying calls to the store again, until when and after which pauses."""

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module

# Pauses between tries of a write: the first outlasts a short refusal, the
# longest keeps a returning store from a stampede. Seconds.
FIRST_PAUSE = 0.02
LONGEST_PAUSE = 0.4
SHORTEST_TRY = 0.02
# The shortest time that one try waits for its answer. Seconds.
SHORTEST_PATIENCE = 0.25


async def commit(
    store: store_module.StoreClient,
    transaction: messages.Transaction,
    until: float,
    timer_service: timers.TimerService,
) -> messages.Committed | messages.Conflict:
    """Apply a transaction whose repetition is harmless, until a time.

    A try without an answer may take effect later, yet only while its
    conditions hold; the caller tells its own write in a ``Conflict`` by the
    value found. Raise the last ``StoreError`` when the time is over or the
    whole store is out of reach.
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
            if left <= pause or store.is_unreachable:
                raise
            await store.wait_before_retry(pause)


def find_patience(store: store_module.StoreClient) -> float:
    """Return how long to wait for one answer of the store."""
    return min(
        store_module.MAX_TIMEOUT_SECONDS,
        max(
            SHORTEST_PATIENCE,
            store_module.TIMEOUT_FACTOR * store.average_latency,
        ),
    )
