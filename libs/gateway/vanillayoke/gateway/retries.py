"""Retries of calls to the store."""

from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import store as store_module

# The first pause outlasts a short refusal; the longest one limits the load on
# a store that recovers.
INITIAL_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.4
# The timeout of an attempt made shortly before the deadline.
MIN_ATTEMPT_SECONDS = 0.02
# The minimum of the timeout derived from the store's response times.
MIN_TIMEOUT_SECONDS = 0.25


async def commit(
    store: store_module.StoreClient,
    transaction: messages.Transaction,
    deadline: float,
    timer_service: timers.TimerService,
) -> messages.Committed | messages.Conflict:
    """Apply an idempotent transaction, with retries until the deadline.

    An attempt without a response may still take effect, but only while its
    conditions hold; the caller recognises its own write in a ``Conflict`` by
    the value of the row. Raise the last ``StoreError`` when the deadline
    passes or the store is unreachable.
    """
    backoff = INITIAL_BACKOFF_SECONDS
    while True:
        remaining = deadline - timer_service.now()
        try:
            return await store.transact(
                transaction,
                max(
                    MIN_ATTEMPT_SECONDS, min(remaining, compute_timeout(store))
                ),
            )
        except store_module.StoreError:
            backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)
            remaining = deadline - timer_service.now()
            if remaining <= backoff or store.is_unreachable:
                raise
            await store.wait_before_retry(backoff)


def compute_timeout(store: store_module.StoreClient) -> float:
    """Return the timeout of one call to the store, in seconds."""
    return min(
        store_module.MAX_TIMEOUT_SECONDS,
        max(
            MIN_TIMEOUT_SECONDS,
            store_module.TIMEOUT_FACTOR * store.average_latency,
        ),
    )
