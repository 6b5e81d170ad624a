"""Work that goes on behind whoever waits for it."""

import asyncio
import typing

_Result = typing.TypeVar('_Result')


def start(
    work: typing.Coroutine[typing.Any, typing.Any, _Result],
    spawn: typing.Callable[[typing.Coroutine], None],
) -> asyncio.Future[_Result]:
    """Start work that is kept to its end when nobody waits any more.

    ``spawn`` keeps tasks and notes their errors.
    """
    task = asyncio.ensure_future(work)
    spawn(_wait_for(task))
    return task


async def _wait_for(task: asyncio.Future) -> None:
    await task
