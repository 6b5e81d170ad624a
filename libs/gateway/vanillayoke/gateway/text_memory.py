"""The memory for the text of a turn, from its history to its last event."""

import asyncio
import math

from vanillayoke.core import memory
from vanillayoke.gateway import refusals

# Held at a time while a text of unknown length grows.
STEP_BYTES = memory.LARGE_BYTES + 1
# How long a text waits for memory while its stream stands still. Callers give
# up after 2 s without an event.
MAX_WAIT_SECONDS = 2.0
# The text, its rows, the encoded call to the store and the cached history.
SAVED_COPIES = 4


class TextMemory:
    """Holds memory for one turn; waits where there is none for a large text.

    Without an account, nothing is held. Sizes are in bytes.
    """

    def __init__(self, account: memory.Account | None) -> None:
        self._account = account
        self._held = 0
        self._used = 0

    async def add(self, size: int) -> None:
        """Hold more for the history or for what the turn adds.

        Raise ``RefusalError`` if there is no memory in time.
        """
        self._used += size
        missing = self._used - self._held
        if self._account is None or missing <= 0:
            return
        if self._used <= memory.LARGE_BYTES:
            self._hold(missing)
        else:
            await self._reserve(
                memory.Kind.HISTORIES, max(missing, STEP_BYTES)
            )

    async def prepare_saving(self, size: int) -> None:
        """Hold memory for the copies of the text while it is saved.

        Raise ``RefusalError`` if there is no memory in time.
        """
        if self._account is None:
            return
        size *= SAVED_COPIES
        if size <= memory.LARGE_BYTES:
            self._hold(size)
        else:
            await self._reserve(memory.Kind.SAVES, size)

    def release(self) -> None:
        """Release all that is held; without effect the second time."""
        if self._account is not None:
            self._hold(-self._held)

    def _hold(self, size: int) -> None:
        self._held += size
        self._account.add(memory.Kind.HISTORIES, size)

    async def _reserve(self, kind: memory.Kind, size: int) -> None:
        """Hold a large size once the parts of the account allow it."""
        if self._account.has_room(kind, size):
            self._hold(size)
            return
        has_room = asyncio.get_running_loop().create_future()

        def take() -> None:
            self._hold(size)
            # It is cancelled if the turn ends before it goes on.
            if not has_room.done():
                has_room.set_result(None)

        waiter = self._account.wait(kind, size, take)
        if waiter is None:
            self._hold(size)
            return
        try:
            async with asyncio.timeout(MAX_WAIT_SECONDS):
                await has_room
        except TimeoutError as error:
            raise refusals.RefusalError(
                refusals.Reason.MEMORY,
                f'{self._account.total} of {self._account.capacity} bytes '
                f'held, {math.ceil(size / 1024)} KB more needed for a text',
            ) from error
        finally:
            self._account.cancel(waiter)
