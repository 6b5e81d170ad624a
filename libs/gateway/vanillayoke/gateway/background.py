"""Tasks that continue when their caller stops waiting."""

import asyncio
import typing

_Result = typing.TypeVar('_Result')


def start(
    coroutine: typing.Coroutine[typing.Any, typing.Any, _Result],
    spawn: typing.Callable[[typing.Coroutine], None],
) -> asyncio.Future[_Result]:
    """Start a task that runs to completion even if nobody awaits it.

    ``spawn`` holds references to tasks and logs their errors.
    """
    task = asyncio.ensure_future(coroutine)
    spawn(_wait_for(task))
    return task


async def _wait_for(task: asyncio.Future) -> None:
    await task
